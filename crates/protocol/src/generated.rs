pub use root::*;

const _: () = ::planus::check_version_compatibility("planus-1.3.0");

/// The root namespace
///
/// Generated from these locations:
/// * File `protocol.fbs`
#[no_implicit_prelude]
#[allow(clippy::needless_lifetimes)]
mod root {
    /// The namespace `quillpulley`
    ///
    /// Generated from these locations:
    /// * File `protocol.fbs`
    pub mod quillpulley {
        /// The namespace `quillpulley.protocol`
        ///
        /// Generated from these locations:
        /// * File `protocol.fbs`
        pub mod protocol {
            ///  A control node: its IPv4 address and the incarnation of its disk. A wiped disk gets a new incarnation.
            ///
            /// Generated from these locations:
            /// * Struct `NodeId` in the file `protocol.fbs:10`
            #[derive(
                Copy,
                Clone,
                Debug,
                PartialEq,
                PartialOrd,
                Eq,
                Ord,
                Hash,
                Default,
                ::serde::Serialize,
                ::serde::Deserialize,
            )]
            pub struct NodeId {
                /// The field `ip` in the struct `NodeId`
                pub ip: u32,

                /// The field `incarnation` in the struct `NodeId`
                pub incarnation: u64,
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for NodeId {
                const ALIGNMENT: usize = 8;
                const SIZE: usize = 16;
            }

            #[allow(clippy::identity_op)]
            impl ::planus::WriteAsPrimitive<NodeId> for NodeId {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    let (cur, cursor) = cursor.split::<4, 12>();
                    self.ip.write(cur, buffer_position - 0);
                    let cursor = cursor.write::<4, 8>([0; 4]);
                    let (cur, cursor) = cursor.split::<8, 0>();
                    self.incarnation.write(cur, buffer_position - 8);
                    cursor.finish([]);
                }
            }

            impl ::planus::WriteAsOffset<NodeId> for NodeId {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<NodeId> {
                    unsafe {
                        builder.write_with(16, 7, |buffer_position, bytes| {
                            let bytes = bytes.as_mut_ptr();

                            ::planus::WriteAsPrimitive::write(
                                self,
                                ::planus::Cursor::new(
                                    &mut *(bytes as *mut [::core::mem::MaybeUninit<u8>; 16]),
                                ),
                                buffer_position,
                            );
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<NodeId> for NodeId {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self {
                    *self
                }
            }

            impl ::planus::WriteAsOptional<NodeId> for NodeId {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<Self> {
                    ::core::option::Option::Some(*self)
                }
            }

            /// Reference to a deserialized [NodeId].
            #[derive(Copy, Clone)]
            pub struct NodeIdRef<'a>(::planus::ArrayWithStartOffset<'a, 16>);

            impl<'a> NodeIdRef<'a> {
                /// Getter for the [`ip` field](NodeId#structfield.ip).
                pub fn ip(&self) -> u32 {
                    let buffer = self.0.advance_as_array::<4>(0).unwrap();

                    u32::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`incarnation` field](NodeId#structfield.incarnation).
                pub fn incarnation(&self) -> u64 {
                    let buffer = self.0.advance_as_array::<8>(8).unwrap();

                    u64::from_le_bytes(*buffer.as_array())
                }
            }

            impl<'a> ::core::fmt::Debug for NodeIdRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("NodeIdRef");
                    f.field("ip", &self.ip());
                    f.field("incarnation", &self.incarnation());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::From<::planus::ArrayWithStartOffset<'a, 16>> for NodeIdRef<'a> {
                fn from(array: ::planus::ArrayWithStartOffset<'a, 16>) -> Self {
                    Self(array)
                }
            }

            impl<'a> ::core::convert::From<NodeIdRef<'a>> for NodeId {
                #[allow(unreachable_code)]
                fn from(value: NodeIdRef<'a>) -> Self {
                    Self { ip: value.ip(), incarnation: value.incarnation() }
                }
            }

            impl<'a, 'b> ::core::cmp::PartialEq<NodeIdRef<'a>> for NodeIdRef<'b> {
                fn eq(&self, other: &NodeIdRef<'_>) -> bool {
                    self.ip() == other.ip() && self.incarnation() == other.incarnation()
                }
            }

            impl<'a> ::core::cmp::Eq for NodeIdRef<'a> {}
            impl<'a, 'b> ::core::cmp::PartialOrd<NodeIdRef<'a>> for NodeIdRef<'b> {
                fn partial_cmp(
                    &self,
                    other: &NodeIdRef<'_>,
                ) -> ::core::option::Option<::core::cmp::Ordering> {
                    ::core::option::Option::Some(::core::cmp::Ord::cmp(self, other))
                }
            }

            impl<'a> ::core::cmp::Ord for NodeIdRef<'a> {
                fn cmp(&self, other: &NodeIdRef<'_>) -> ::core::cmp::Ordering {
                    self.ip().cmp(&other.ip()).then_with(|| self.incarnation().cmp(&other.incarnation()))
                }
            }

            impl<'a> ::core::hash::Hash for NodeIdRef<'a> {
                fn hash<H: ::core::hash::Hasher>(&self, state: &mut H) {
                    self.ip().hash(state);
                    self.incarnation().hash(state);
                }
            }

            impl<'a> ::planus::TableRead<'a> for NodeIdRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let buffer = buffer.advance_as_array::<16>(offset)?;
                    ::core::result::Result::Ok(Self(buffer))
                }
            }

            impl<'a> ::planus::VectorRead<'a> for NodeIdRef<'a> {
                const STRIDE: usize = 16;

                #[inline]
                unsafe fn from_buffer(buffer: ::planus::SliceWithStartOffset<'a>, offset: usize) -> Self {
                    Self(unsafe { buffer.unchecked_advance_as_array(offset) })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<NodeId> for NodeId {
                const STRIDE: usize = 16;

                type Value = NodeId;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self::Value {
                    *self
                }

                #[inline]
                unsafe fn write_values(
                    values: &[NodeId],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 16];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (16 * i) as u32,
                        );
                    }
                }
            }

            ///  A position in the replicated log. Entries are ordered by index and made unique by the epoch that wrote them.
            ///
            /// Generated from these locations:
            /// * Struct `Position` in the file `protocol.fbs:13`
            #[derive(
                Copy,
                Clone,
                Debug,
                PartialEq,
                PartialOrd,
                Eq,
                Ord,
                Hash,
                Default,
                ::serde::Serialize,
                ::serde::Deserialize,
            )]
            pub struct Position {
                /// The field `epoch` in the struct `Position`
                pub epoch: u64,

                /// The field `index` in the struct `Position`
                pub index: u64,
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for Position {
                const ALIGNMENT: usize = 8;
                const SIZE: usize = 16;
            }

            #[allow(clippy::identity_op)]
            impl ::planus::WriteAsPrimitive<Position> for Position {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    let (cur, cursor) = cursor.split::<8, 8>();
                    self.epoch.write(cur, buffer_position - 0);
                    let (cur, cursor) = cursor.split::<8, 0>();
                    self.index.write(cur, buffer_position - 8);
                    cursor.finish([]);
                }
            }

            impl ::planus::WriteAsOffset<Position> for Position {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Position> {
                    unsafe {
                        builder.write_with(16, 7, |buffer_position, bytes| {
                            let bytes = bytes.as_mut_ptr();

                            ::planus::WriteAsPrimitive::write(
                                self,
                                ::planus::Cursor::new(
                                    &mut *(bytes as *mut [::core::mem::MaybeUninit<u8>; 16]),
                                ),
                                buffer_position,
                            );
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<Position> for Position {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self {
                    *self
                }
            }

            impl ::planus::WriteAsOptional<Position> for Position {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<Self> {
                    ::core::option::Option::Some(*self)
                }
            }

            /// Reference to a deserialized [Position].
            #[derive(Copy, Clone)]
            pub struct PositionRef<'a>(::planus::ArrayWithStartOffset<'a, 16>);

            impl<'a> PositionRef<'a> {
                /// Getter for the [`epoch` field](Position#structfield.epoch).
                pub fn epoch(&self) -> u64 {
                    let buffer = self.0.advance_as_array::<8>(0).unwrap();

                    u64::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`index` field](Position#structfield.index).
                pub fn index(&self) -> u64 {
                    let buffer = self.0.advance_as_array::<8>(8).unwrap();

                    u64::from_le_bytes(*buffer.as_array())
                }
            }

            impl<'a> ::core::fmt::Debug for PositionRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("PositionRef");
                    f.field("epoch", &self.epoch());
                    f.field("index", &self.index());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::From<::planus::ArrayWithStartOffset<'a, 16>> for PositionRef<'a> {
                fn from(array: ::planus::ArrayWithStartOffset<'a, 16>) -> Self {
                    Self(array)
                }
            }

            impl<'a> ::core::convert::From<PositionRef<'a>> for Position {
                #[allow(unreachable_code)]
                fn from(value: PositionRef<'a>) -> Self {
                    Self { epoch: value.epoch(), index: value.index() }
                }
            }

            impl<'a, 'b> ::core::cmp::PartialEq<PositionRef<'a>> for PositionRef<'b> {
                fn eq(&self, other: &PositionRef<'_>) -> bool {
                    self.epoch() == other.epoch() && self.index() == other.index()
                }
            }

            impl<'a> ::core::cmp::Eq for PositionRef<'a> {}
            impl<'a, 'b> ::core::cmp::PartialOrd<PositionRef<'a>> for PositionRef<'b> {
                fn partial_cmp(
                    &self,
                    other: &PositionRef<'_>,
                ) -> ::core::option::Option<::core::cmp::Ordering> {
                    ::core::option::Option::Some(::core::cmp::Ord::cmp(self, other))
                }
            }

            impl<'a> ::core::cmp::Ord for PositionRef<'a> {
                fn cmp(&self, other: &PositionRef<'_>) -> ::core::cmp::Ordering {
                    self.epoch().cmp(&other.epoch()).then_with(|| self.index().cmp(&other.index()))
                }
            }

            impl<'a> ::core::hash::Hash for PositionRef<'a> {
                fn hash<H: ::core::hash::Hasher>(&self, state: &mut H) {
                    self.epoch().hash(state);
                    self.index().hash(state);
                }
            }

            impl<'a> ::planus::TableRead<'a> for PositionRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let buffer = buffer.advance_as_array::<16>(offset)?;
                    ::core::result::Result::Ok(Self(buffer))
                }
            }

            impl<'a> ::planus::VectorRead<'a> for PositionRef<'a> {
                const STRIDE: usize = 16;

                #[inline]
                unsafe fn from_buffer(buffer: ::planus::SliceWithStartOffset<'a>, offset: usize) -> Self {
                    Self(unsafe { buffer.unchecked_advance_as_array(offset) })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<Position> for Position {
                const STRIDE: usize = 16;

                type Value = Position;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self::Value {
                    *self
                }

                #[inline]
                unsafe fn write_values(
                    values: &[Position],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 16];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (16 * i) as u32,
                        );
                    }
                }
            }

            ///  The revision of published state: the epoch of the primary and its count of publications under its lease.
            ///
            /// Generated from these locations:
            /// * Struct `Revision` in the file `protocol.fbs:16`
            #[derive(
                Copy,
                Clone,
                Debug,
                PartialEq,
                PartialOrd,
                Eq,
                Ord,
                Hash,
                Default,
                ::serde::Serialize,
                ::serde::Deserialize,
            )]
            pub struct Revision {
                /// The field `epoch` in the struct `Revision`
                pub epoch: u64,

                /// The field `tick` in the struct `Revision`
                pub tick: u64,
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for Revision {
                const ALIGNMENT: usize = 8;
                const SIZE: usize = 16;
            }

            #[allow(clippy::identity_op)]
            impl ::planus::WriteAsPrimitive<Revision> for Revision {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    let (cur, cursor) = cursor.split::<8, 8>();
                    self.epoch.write(cur, buffer_position - 0);
                    let (cur, cursor) = cursor.split::<8, 0>();
                    self.tick.write(cur, buffer_position - 8);
                    cursor.finish([]);
                }
            }

            impl ::planus::WriteAsOffset<Revision> for Revision {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Revision> {
                    unsafe {
                        builder.write_with(16, 7, |buffer_position, bytes| {
                            let bytes = bytes.as_mut_ptr();

                            ::planus::WriteAsPrimitive::write(
                                self,
                                ::planus::Cursor::new(
                                    &mut *(bytes as *mut [::core::mem::MaybeUninit<u8>; 16]),
                                ),
                                buffer_position,
                            );
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<Revision> for Revision {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self {
                    *self
                }
            }

            impl ::planus::WriteAsOptional<Revision> for Revision {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<Self> {
                    ::core::option::Option::Some(*self)
                }
            }

            /// Reference to a deserialized [Revision].
            #[derive(Copy, Clone)]
            pub struct RevisionRef<'a>(::planus::ArrayWithStartOffset<'a, 16>);

            impl<'a> RevisionRef<'a> {
                /// Getter for the [`epoch` field](Revision#structfield.epoch).
                pub fn epoch(&self) -> u64 {
                    let buffer = self.0.advance_as_array::<8>(0).unwrap();

                    u64::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`tick` field](Revision#structfield.tick).
                pub fn tick(&self) -> u64 {
                    let buffer = self.0.advance_as_array::<8>(8).unwrap();

                    u64::from_le_bytes(*buffer.as_array())
                }
            }

            impl<'a> ::core::fmt::Debug for RevisionRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("RevisionRef");
                    f.field("epoch", &self.epoch());
                    f.field("tick", &self.tick());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::From<::planus::ArrayWithStartOffset<'a, 16>> for RevisionRef<'a> {
                fn from(array: ::planus::ArrayWithStartOffset<'a, 16>) -> Self {
                    Self(array)
                }
            }

            impl<'a> ::core::convert::From<RevisionRef<'a>> for Revision {
                #[allow(unreachable_code)]
                fn from(value: RevisionRef<'a>) -> Self {
                    Self { epoch: value.epoch(), tick: value.tick() }
                }
            }

            impl<'a, 'b> ::core::cmp::PartialEq<RevisionRef<'a>> for RevisionRef<'b> {
                fn eq(&self, other: &RevisionRef<'_>) -> bool {
                    self.epoch() == other.epoch() && self.tick() == other.tick()
                }
            }

            impl<'a> ::core::cmp::Eq for RevisionRef<'a> {}
            impl<'a, 'b> ::core::cmp::PartialOrd<RevisionRef<'a>> for RevisionRef<'b> {
                fn partial_cmp(
                    &self,
                    other: &RevisionRef<'_>,
                ) -> ::core::option::Option<::core::cmp::Ordering> {
                    ::core::option::Option::Some(::core::cmp::Ord::cmp(self, other))
                }
            }

            impl<'a> ::core::cmp::Ord for RevisionRef<'a> {
                fn cmp(&self, other: &RevisionRef<'_>) -> ::core::cmp::Ordering {
                    self.epoch().cmp(&other.epoch()).then_with(|| self.tick().cmp(&other.tick()))
                }
            }

            impl<'a> ::core::hash::Hash for RevisionRef<'a> {
                fn hash<H: ::core::hash::Hasher>(&self, state: &mut H) {
                    self.epoch().hash(state);
                    self.tick().hash(state);
                }
            }

            impl<'a> ::planus::TableRead<'a> for RevisionRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let buffer = buffer.advance_as_array::<16>(offset)?;
                    ::core::result::Result::Ok(Self(buffer))
                }
            }

            impl<'a> ::planus::VectorRead<'a> for RevisionRef<'a> {
                const STRIDE: usize = 16;

                #[inline]
                unsafe fn from_buffer(buffer: ::planus::SliceWithStartOffset<'a>, offset: usize) -> Self {
                    Self(unsafe { buffer.unchecked_advance_as_array(offset) })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<Revision> for Revision {
                const STRIDE: usize = 16;

                type Value = Revision;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self::Value {
                    *self
                }

                #[inline]
                unsafe fn write_values(
                    values: &[Revision],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 16];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (16 * i) as u32,
                        );
                    }
                }
            }

            ///  The configuration of the replication in an epoch: who holds the data, and who decides on the next view.
            ///
            /// Generated from these locations:
            /// * Table `View` in the file `protocol.fbs:19`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct View {
                /// The field `epoch` in the table `View`
                pub epoch: u64,
                /// The field `primary` in the table `View`
                pub primary: self::NodeId,
                /// The field `backups` in the table `View`
                pub backups: ::planus::alloc::vec::Vec<self::NodeId>,
                /// The field `witnesses` in the table `View`
                pub witnesses: ::planus::alloc::vec::Vec<self::NodeId>,
                ///  The witnesses of the view before. Majorities of both sets must accept until the view is activated.
                pub previous_witnesses: ::planus::alloc::vec::Vec<self::NodeId>,
                /// The field `activated` in the table `View`
                pub activated: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for View {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        primary: ::core::default::Default::default(),
                        backups: ::core::default::Default::default(),
                        witnesses: ::core::default::Default::default(),
                        previous_witnesses: ::core::default::Default::default(),
                        activated: false,
                    }
                }
            }

            impl View {
                /// Creates a [ViewBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ViewBuilder<()> {
                    ViewBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_primary: impl ::planus::WriteAs<self::NodeId>,
                    field_backups: impl ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    field_witnesses: impl ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    field_previous_witnesses: impl ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    field_activated: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_primary = field_primary.prepare(builder);
                    let prepared_backups = field_backups.prepare(builder);
                    let prepared_witnesses = field_witnesses.prepare(builder);
                    let prepared_previous_witnesses = field_previous_witnesses.prepare(builder);
                    let prepared_activated = field_activated.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<16> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::NodeId>(1);
                    table_writer.write_entry::<::planus::Offset<[self::NodeId]>>(2);
                    table_writer.write_entry::<::planus::Offset<[self::NodeId]>>(3);
                    table_writer.write_entry::<::planus::Offset<[self::NodeId]>>(4);
                    if prepared_activated.is_some() {
                        table_writer.write_entry::<bool>(5);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_primary);
                            object_writer.write::<_, _, 4>(&prepared_backups);
                            object_writer.write::<_, _, 4>(&prepared_witnesses);
                            object_writer.write::<_, _, 4>(&prepared_previous_witnesses);
                            if let ::core::option::Option::Some(prepared_activated) = prepared_activated {
                                object_writer.write::<_, _, 1>(&prepared_activated);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<View>> for View {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<View> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<View>> for View {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<View>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<View> for View {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<View> {
                    View::create(
                        builder,
                        self.epoch,
                        self.primary,
                        &self.backups,
                        &self.witnesses,
                        &self.previous_witnesses,
                        self.activated,
                    )
                }
            }

            /// Builder for serializing an instance of the [View] type.
            ///
            /// Can be created using the [View::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ViewBuilder<State>(State);

            impl ViewBuilder<()> {
                /// Setter for the [`epoch` field](View#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> ViewBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    ViewBuilder((value,))
                }

                /// Sets the [`epoch` field](View#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> ViewBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> ViewBuilder<(T0,)> {
                /// Setter for the [`primary` field](View#structfield.primary).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn primary<T1>(self, value: T1) -> ViewBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::NodeId>,
                {
                    let (v0,) = self.0;
                    ViewBuilder((v0, value))
                }
            }

            impl<T0, T1> ViewBuilder<(T0, T1)> {
                /// Setter for the [`backups` field](View#structfield.backups).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn backups<T2>(self, value: T2) -> ViewBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                {
                    let (v0, v1) = self.0;
                    ViewBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ViewBuilder<(T0, T1, T2)> {
                /// Setter for the [`witnesses` field](View#structfield.witnesses).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn witnesses<T3>(self, value: T3) -> ViewBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                {
                    let (v0, v1, v2) = self.0;
                    ViewBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ViewBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`previous_witnesses` field](View#structfield.previous_witnesses).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn previous_witnesses<T4>(self, value: T4) -> ViewBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    ViewBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> ViewBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`activated` field](View#structfield.activated).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn activated<T5>(self, value: T5) -> ViewBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    ViewBuilder((v0, v1, v2, v3, v4, value))
                }

                /// Sets the [`activated` field](View#structfield.activated) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn activated_as_default(
                    self,
                ) -> ViewBuilder<(T0, T1, T2, T3, T4, ::planus::DefaultValue)> {
                    self.activated(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5> ViewBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [View].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<View>
                where
                    Self: ::planus::WriteAsOffset<View>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T5: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<View>> for ViewBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                type Prepared = ::planus::Offset<View>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<View> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T5: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<View>>
                for ViewBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                type Prepared = ::planus::Offset<View>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<View>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[self::NodeId]>>,
                    T5: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<View> for ViewBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<View> {
                    let (v0, v1, v2, v3, v4, v5) = &self.0;
                    View::create(builder, v0, v1, v2, v3, v4, v5)
                }
            }

            /// Reference to a deserialized [View].
            #[derive(Copy, Clone)]
            pub struct ViewRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ViewRef<'a> {
                /// Getter for the [`epoch` field](View#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "View", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`primary` field](View#structfield.primary).
                #[inline]
                pub fn primary(&self) -> ::planus::Result<self::NodeIdRef<'a>> {
                    self.0.access_required(1, "View", "primary")
                }

                /// Getter for the [`backups` field](View#structfield.backups).
                #[inline]
                pub fn backups(&self) -> ::planus::Result<::planus::Vector<'a, self::NodeIdRef<'a>>> {
                    self.0.access_required(2, "View", "backups")
                }

                /// Getter for the [`witnesses` field](View#structfield.witnesses).
                #[inline]
                pub fn witnesses(&self) -> ::planus::Result<::planus::Vector<'a, self::NodeIdRef<'a>>> {
                    self.0.access_required(3, "View", "witnesses")
                }

                /// Getter for the [`previous_witnesses` field](View#structfield.previous_witnesses).
                #[inline]
                pub fn previous_witnesses(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, self::NodeIdRef<'a>>> {
                    self.0.access_required(4, "View", "previous_witnesses")
                }

                /// Getter for the [`activated` field](View#structfield.activated).
                #[inline]
                pub fn activated(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(5, "View", "activated")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for ViewRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ViewRef");
                    f.field("epoch", &self.epoch());
                    f.field("primary", &self.primary());
                    f.field("backups", &self.backups());
                    f.field("witnesses", &self.witnesses());
                    f.field("previous_witnesses", &self.previous_witnesses());
                    f.field("activated", &self.activated());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ViewRef<'a>> for View {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ViewRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        primary: ::core::convert::Into::into(value.primary()?),
                        backups: value.backups()?.to_vec()?,
                        witnesses: value.witnesses()?.to_vec()?,
                        previous_witnesses: value.previous_witnesses()?.to_vec()?,
                        activated: ::core::convert::TryInto::try_into(value.activated()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ViewRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for ViewRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ViewRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<View>> for View {
                type Value = ::planus::Offset<View>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<View>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for ViewRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[ViewRef]", "read_as_root", 0))
                }
            }

            ///  An entry of the replicated log. An empty payload only marks the begin of an epoch.
            ///
            /// Generated from these locations:
            /// * Table `Entry` in the file `protocol.fbs:30`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Entry {
                /// The field `epoch` in the table `Entry`
                pub epoch: u64,
                /// The field `index` in the table `Entry`
                pub index: u64,
                /// The field `payload` in the table `Entry`
                pub payload: ::planus::alloc::vec::Vec<u8>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Entry {
                fn default() -> Self {
                    Self { epoch: 0, index: 0, payload: ::core::default::Default::default() }
                }
            }

            impl Entry {
                /// Creates a [EntryBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> EntryBuilder<()> {
                    EntryBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_index: impl ::planus::WriteAsDefault<u64, u64>,
                    field_payload: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_index = field_index.prepare(builder, &0);
                    let prepared_payload = field_payload.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_index.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    table_writer.write_entry::<::planus::Offset<[u8]>>(2);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            if let ::core::option::Option::Some(prepared_index) = prepared_index {
                                object_writer.write::<_, _, 8>(&prepared_index);
                            }
                            object_writer.write::<_, _, 4>(&prepared_payload);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Entry>> for Entry {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Entry> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Entry>> for Entry {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Entry>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Entry> for Entry {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Entry> {
                    Entry::create(builder, self.epoch, self.index, &self.payload)
                }
            }

            /// Builder for serializing an instance of the [Entry] type.
            ///
            /// Can be created using the [Entry::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct EntryBuilder<State>(State);

            impl EntryBuilder<()> {
                /// Setter for the [`epoch` field](Entry#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> EntryBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    EntryBuilder((value,))
                }

                /// Sets the [`epoch` field](Entry#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> EntryBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> EntryBuilder<(T0,)> {
                /// Setter for the [`index` field](Entry#structfield.index).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn index<T1>(self, value: T1) -> EntryBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    EntryBuilder((v0, value))
                }

                /// Sets the [`index` field](Entry#structfield.index) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn index_as_default(self) -> EntryBuilder<(T0, ::planus::DefaultValue)> {
                    self.index(::planus::DefaultValue)
                }
            }

            impl<T0, T1> EntryBuilder<(T0, T1)> {
                /// Setter for the [`payload` field](Entry#structfield.payload).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn payload<T2>(self, value: T2) -> EntryBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1) = self.0;
                    EntryBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> EntryBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Entry].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Entry>
                where
                    Self: ::planus::WriteAsOffset<Entry>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAs<::planus::Offset<Entry>> for EntryBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Entry>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Entry> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Entry>> for EntryBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Entry>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Entry>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOffset<Entry> for EntryBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Entry> {
                    let (v0, v1, v2) = &self.0;
                    Entry::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [Entry].
            #[derive(Copy, Clone)]
            pub struct EntryRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> EntryRef<'a> {
                /// Getter for the [`epoch` field](Entry#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Entry", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`index` field](Entry#structfield.index).
                #[inline]
                pub fn index(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "Entry", "index")?.unwrap_or(0))
                }

                /// Getter for the [`payload` field](Entry#structfield.payload).
                #[inline]
                pub fn payload(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(2, "Entry", "payload")
                }
            }

            impl<'a> ::core::fmt::Debug for EntryRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("EntryRef");
                    f.field("epoch", &self.epoch());
                    f.field("index", &self.index());
                    f.field("payload", &self.payload());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<EntryRef<'a>> for Entry {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: EntryRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        index: ::core::convert::TryInto::try_into(value.index()?)?,
                        payload: value.payload()?.to_vec(),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for EntryRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for EntryRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[EntryRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Entry>> for Entry {
                type Value = ::planus::Offset<Entry>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Entry>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for EntryRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[EntryRef]", "read_as_root", 0))
                }
            }

            /// The enum `PeerKind` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Enum `PeerKind` in the file `protocol.fbs:34`
            #[derive(
                Copy,
                Clone,
                Debug,
                PartialEq,
                Eq,
                PartialOrd,
                Ord,
                Hash,
                ::serde::Serialize,
                ::serde::Deserialize,
            )]
            #[repr(u8)]
            pub enum PeerKind {
                /// The variant `Control` in the enum `PeerKind`
                Control = 0,

                /// The variant `Agent` in the enum `PeerKind`
                Agent = 1,

                /// The variant `Proxy` in the enum `PeerKind`
                Proxy = 2,
            }

            impl PeerKind {
                /// Array containing all valid variants of PeerKind
                pub const ENUM_VALUES: [Self; 3] = [Self::Control, Self::Agent, Self::Proxy];
            }

            impl ::core::convert::TryFrom<u8> for PeerKind {
                type Error = ::planus::errors::UnknownEnumTagKind;
                #[inline]
                fn try_from(value: u8) -> ::core::result::Result<Self, ::planus::errors::UnknownEnumTagKind> {
                    #[allow(clippy::match_single_binding)]
                    match value {
                        0 => ::core::result::Result::Ok(PeerKind::Control),
                        1 => ::core::result::Result::Ok(PeerKind::Agent),
                        2 => ::core::result::Result::Ok(PeerKind::Proxy),

                        _ => ::core::result::Result::Err(::planus::errors::UnknownEnumTagKind {
                            tag: value as i128,
                        }),
                    }
                }
            }

            impl ::core::convert::From<PeerKind> for u8 {
                #[inline]
                fn from(value: PeerKind) -> Self {
                    value as u8
                }
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for PeerKind {
                const ALIGNMENT: usize = 1;
                const SIZE: usize = 1;
            }

            impl ::planus::WriteAsPrimitive<PeerKind> for PeerKind {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    (*self as u8).write(cursor, buffer_position);
                }
            }

            impl ::planus::WriteAs<PeerKind> for PeerKind {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> PeerKind {
                    *self
                }
            }

            impl ::planus::WriteAsDefault<PeerKind, PeerKind> for PeerKind {
                type Prepared = Self;

                #[inline]
                fn prepare(
                    &self,
                    _builder: &mut ::planus::Builder,
                    default: &PeerKind,
                ) -> ::core::option::Option<PeerKind> {
                    if self == default {
                        ::core::option::Option::None
                    } else {
                        ::core::option::Option::Some(*self)
                    }
                }
            }

            impl ::planus::WriteAsOptional<PeerKind> for PeerKind {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<PeerKind> {
                    ::core::option::Option::Some(*self)
                }
            }

            impl<'buf> ::planus::TableRead<'buf> for PeerKind {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'buf>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let n: u8 = ::planus::TableRead::from_buffer(buffer, offset)?;
                    ::core::result::Result::Ok(::core::convert::TryInto::try_into(n)?)
                }
            }

            impl<'buf> ::planus::VectorReadInner<'buf> for PeerKind {
                type Error = ::planus::errors::UnknownEnumTag;
                const STRIDE: usize = 1;
                #[inline]
                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'buf>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::UnknownEnumTag> {
                    let value = unsafe { *buffer.buffer.get_unchecked(offset) };
                    let value: ::core::result::Result<Self, _> = ::core::convert::TryInto::try_into(value);
                    value.map_err(|error_kind| {
                        error_kind.with_error_location(
                            "PeerKind",
                            "VectorRead::from_buffer",
                            buffer.offset_from_start,
                        )
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<PeerKind> for PeerKind {
                const STRIDE: usize = 1;

                type Value = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self {
                    *self
                }

                #[inline]
                unsafe fn write_values(
                    values: &[Self],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 1];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - i as u32,
                        );
                    }
                }
            }

            ///  The first message on every connection, in both directions.
            ///
            /// Generated from these locations:
            /// * Table `Hello` in the file `protocol.fbs:37`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Hello {
                /// The field `kind` in the table `Hello`
                pub kind: self::PeerKind,
                /// The field `node` in the table `Hello`
                pub node: self::NodeId,
                /// The field `name` in the table `Hello`
                pub name: ::planus::alloc::string::String,
                /// The field `zone` in the table `Hello`
                pub zone: ::planus::alloc::string::String,
                /// The field `region` in the table `Hello`
                pub region: ::planus::alloc::string::String,
                ///  The address of the operator's API, of control nodes.
                pub control_address: ::planus::alloc::string::String,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Hello {
                fn default() -> Self {
                    Self {
                        kind: self::PeerKind::Control,
                        node: ::core::default::Default::default(),
                        name: ::core::default::Default::default(),
                        zone: ::core::default::Default::default(),
                        region: ::core::default::Default::default(),
                        control_address: ::core::default::Default::default(),
                    }
                }
            }

            impl Hello {
                /// Creates a [HelloBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> HelloBuilder<()> {
                    HelloBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_kind: impl ::planus::WriteAsDefault<self::PeerKind, self::PeerKind>,
                    field_node: impl ::planus::WriteAs<self::NodeId>,
                    field_name: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_zone: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_region: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_control_address: impl ::planus::WriteAs<::planus::Offset<str>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_kind = field_kind.prepare(builder, &self::PeerKind::Control);
                    let prepared_node = field_node.prepare(builder);
                    let prepared_name = field_name.prepare(builder);
                    let prepared_zone = field_zone.prepare(builder);
                    let prepared_region = field_region.prepare(builder);
                    let prepared_control_address = field_control_address.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<16> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<self::NodeId>(1);
                    table_writer.write_entry::<::planus::Offset<str>>(2);
                    table_writer.write_entry::<::planus::Offset<str>>(3);
                    table_writer.write_entry::<::planus::Offset<str>>(4);
                    table_writer.write_entry::<::planus::Offset<str>>(5);
                    if prepared_kind.is_some() {
                        table_writer.write_entry::<self::PeerKind>(0);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 16>(&prepared_node);
                            object_writer.write::<_, _, 4>(&prepared_name);
                            object_writer.write::<_, _, 4>(&prepared_zone);
                            object_writer.write::<_, _, 4>(&prepared_region);
                            object_writer.write::<_, _, 4>(&prepared_control_address);
                            if let ::core::option::Option::Some(prepared_kind) = prepared_kind {
                                object_writer.write::<_, _, 1>(&prepared_kind);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Hello>> for Hello {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Hello> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Hello>> for Hello {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Hello>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Hello> for Hello {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Hello> {
                    Hello::create(
                        builder,
                        self.kind,
                        self.node,
                        &self.name,
                        &self.zone,
                        &self.region,
                        &self.control_address,
                    )
                }
            }

            /// Builder for serializing an instance of the [Hello] type.
            ///
            /// Can be created using the [Hello::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct HelloBuilder<State>(State);

            impl HelloBuilder<()> {
                /// Setter for the [`kind` field](Hello#structfield.kind).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn kind<T0>(self, value: T0) -> HelloBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<self::PeerKind, self::PeerKind>,
                {
                    HelloBuilder((value,))
                }

                /// Sets the [`kind` field](Hello#structfield.kind) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn kind_as_default(self) -> HelloBuilder<(::planus::DefaultValue,)> {
                    self.kind(::planus::DefaultValue)
                }
            }

            impl<T0> HelloBuilder<(T0,)> {
                /// Setter for the [`node` field](Hello#structfield.node).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn node<T1>(self, value: T1) -> HelloBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::NodeId>,
                {
                    let (v0,) = self.0;
                    HelloBuilder((v0, value))
                }
            }

            impl<T0, T1> HelloBuilder<(T0, T1)> {
                /// Setter for the [`name` field](Hello#structfield.name).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn name<T2>(self, value: T2) -> HelloBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1) = self.0;
                    HelloBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> HelloBuilder<(T0, T1, T2)> {
                /// Setter for the [`zone` field](Hello#structfield.zone).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zone<T3>(self, value: T3) -> HelloBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1, v2) = self.0;
                    HelloBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> HelloBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`region` field](Hello#structfield.region).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn region<T4>(self, value: T4) -> HelloBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    HelloBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> HelloBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`control_address` field](Hello#structfield.control_address).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn control_address<T5>(self, value: T5) -> HelloBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    HelloBuilder((v0, v1, v2, v3, v4, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5> HelloBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Hello].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Hello>
                where
                    Self: ::planus::WriteAsOffset<Hello>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<self::PeerKind, self::PeerKind>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                    T5: ::planus::WriteAs<::planus::Offset<str>>,
                > ::planus::WriteAs<::planus::Offset<Hello>> for HelloBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                type Prepared = ::planus::Offset<Hello>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Hello> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<self::PeerKind, self::PeerKind>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                    T5: ::planus::WriteAs<::planus::Offset<str>>,
                > ::planus::WriteAsOptional<::planus::Offset<Hello>>
                for HelloBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                type Prepared = ::planus::Offset<Hello>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Hello>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<self::PeerKind, self::PeerKind>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                    T5: ::planus::WriteAs<::planus::Offset<str>>,
                > ::planus::WriteAsOffset<Hello> for HelloBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Hello> {
                    let (v0, v1, v2, v3, v4, v5) = &self.0;
                    Hello::create(builder, v0, v1, v2, v3, v4, v5)
                }
            }

            /// Reference to a deserialized [Hello].
            #[derive(Copy, Clone)]
            pub struct HelloRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> HelloRef<'a> {
                /// Getter for the [`kind` field](Hello#structfield.kind).
                #[inline]
                pub fn kind(&self) -> ::planus::Result<self::PeerKind> {
                    ::core::result::Result::Ok(
                        self.0.access(0, "Hello", "kind")?.unwrap_or(self::PeerKind::Control),
                    )
                }

                /// Getter for the [`node` field](Hello#structfield.node).
                #[inline]
                pub fn node(&self) -> ::planus::Result<self::NodeIdRef<'a>> {
                    self.0.access_required(1, "Hello", "node")
                }

                /// Getter for the [`name` field](Hello#structfield.name).
                #[inline]
                pub fn name(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(2, "Hello", "name")
                }

                /// Getter for the [`zone` field](Hello#structfield.zone).
                #[inline]
                pub fn zone(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(3, "Hello", "zone")
                }

                /// Getter for the [`region` field](Hello#structfield.region).
                #[inline]
                pub fn region(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(4, "Hello", "region")
                }

                /// Getter for the [`control_address` field](Hello#structfield.control_address).
                #[inline]
                pub fn control_address(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(5, "Hello", "control_address")
                }
            }

            impl<'a> ::core::fmt::Debug for HelloRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("HelloRef");
                    f.field("kind", &self.kind());
                    f.field("node", &self.node());
                    f.field("name", &self.name());
                    f.field("zone", &self.zone());
                    f.field("region", &self.region());
                    f.field("control_address", &self.control_address());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<HelloRef<'a>> for Hello {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: HelloRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        kind: ::core::convert::TryInto::try_into(value.kind()?)?,
                        node: ::core::convert::Into::into(value.node()?),
                        name: ::core::convert::Into::into(value.name()?),
                        zone: ::core::convert::Into::into(value.zone()?),
                        region: ::core::convert::Into::into(value.region()?),
                        control_address: ::core::convert::Into::into(value.control_address()?),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for HelloRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for HelloRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[HelloRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Hello>> for Hello {
                type Value = ::planus::Offset<Hello>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Hello>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for HelloRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[HelloRef]", "read_as_root", 0))
                }
            }

            ///  The addresses of the control nodes that the sender knows.
            ///
            /// Generated from these locations:
            /// * Table `ControlNodes` in the file `protocol.fbs:50`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ControlNodes {
                /// The field `addresses` in the table `ControlNodes`
                pub addresses: ::planus::alloc::vec::Vec<u32>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ControlNodes {
                fn default() -> Self {
                    Self { addresses: ::core::default::Default::default() }
                }
            }

            impl ControlNodes {
                /// Creates a [ControlNodesBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ControlNodesBuilder<()> {
                    ControlNodesBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_addresses: impl ::planus::WriteAs<::planus::Offset<[u32]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_addresses = field_addresses.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<6> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<[u32]>>(0);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_addresses);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ControlNodes>> for ControlNodes {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNodes> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ControlNodes>> for ControlNodes {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ControlNodes>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ControlNodes> for ControlNodes {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNodes> {
                    ControlNodes::create(builder, &self.addresses)
                }
            }

            /// Builder for serializing an instance of the [ControlNodes] type.
            ///
            /// Can be created using the [ControlNodes::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ControlNodesBuilder<State>(State);

            impl ControlNodesBuilder<()> {
                /// Setter for the [`addresses` field](ControlNodes#structfield.addresses).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn addresses<T0>(self, value: T0) -> ControlNodesBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<[u32]>>,
                {
                    ControlNodesBuilder((value,))
                }
            }

            impl<T0> ControlNodesBuilder<(T0,)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ControlNodes].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNodes>
                where
                    Self: ::planus::WriteAsOffset<ControlNodes>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<[u32]>>>
                ::planus::WriteAs<::planus::Offset<ControlNodes>> for ControlNodesBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<ControlNodes>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNodes> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<[u32]>>>
                ::planus::WriteAsOptional<::planus::Offset<ControlNodes>> for ControlNodesBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<ControlNodes>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ControlNodes>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<[u32]>>> ::planus::WriteAsOffset<ControlNodes>
                for ControlNodesBuilder<(T0,)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNodes> {
                    let (v0,) = &self.0;
                    ControlNodes::create(builder, v0)
                }
            }

            /// Reference to a deserialized [ControlNodes].
            #[derive(Copy, Clone)]
            pub struct ControlNodesRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ControlNodesRef<'a> {
                /// Getter for the [`addresses` field](ControlNodes#structfield.addresses).
                #[inline]
                pub fn addresses(&self) -> ::planus::Result<::planus::Vector<'a, u32>> {
                    self.0.access_required(0, "ControlNodes", "addresses")
                }
            }

            impl<'a> ::core::fmt::Debug for ControlNodesRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ControlNodesRef");
                    f.field("addresses", &self.addresses());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ControlNodesRef<'a>> for ControlNodes {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ControlNodesRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self { addresses: value.addresses()?.to_vec()? })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ControlNodesRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for ControlNodesRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ControlNodesRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ControlNodes>> for ControlNodes {
                type Value = ::planus::Offset<ControlNodes>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ControlNodes>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for ControlNodesRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ControlNodesRef]", "read_as_root", 0)
                    })
                }
            }

            ///  Asks a witness to promise an epoch to a candidate. With `pre_vote` it only asks whether the witness would.
            ///
            /// Generated from these locations:
            /// * Table `Prepare` in the file `protocol.fbs:52`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Prepare {
                /// The field `epoch` in the table `Prepare`
                pub epoch: u64,
                /// The field `candidate` in the table `Prepare`
                pub candidate: self::NodeId,
                /// The field `pre_vote` in the table `Prepare`
                pub pre_vote: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Prepare {
                fn default() -> Self {
                    Self { epoch: 0, candidate: ::core::default::Default::default(), pre_vote: false }
                }
            }

            impl Prepare {
                /// Creates a [PrepareBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> PrepareBuilder<()> {
                    PrepareBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_candidate: impl ::planus::WriteAs<self::NodeId>,
                    field_pre_vote: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_candidate = field_candidate.prepare(builder);
                    let prepared_pre_vote = field_pre_vote.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::NodeId>(1);
                    if prepared_pre_vote.is_some() {
                        table_writer.write_entry::<bool>(2);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_candidate);
                            if let ::core::option::Option::Some(prepared_pre_vote) = prepared_pre_vote {
                                object_writer.write::<_, _, 1>(&prepared_pre_vote);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Prepare>> for Prepare {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Prepare> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Prepare>> for Prepare {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Prepare>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Prepare> for Prepare {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Prepare> {
                    Prepare::create(builder, self.epoch, self.candidate, self.pre_vote)
                }
            }

            /// Builder for serializing an instance of the [Prepare] type.
            ///
            /// Can be created using the [Prepare::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct PrepareBuilder<State>(State);

            impl PrepareBuilder<()> {
                /// Setter for the [`epoch` field](Prepare#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> PrepareBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    PrepareBuilder((value,))
                }

                /// Sets the [`epoch` field](Prepare#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> PrepareBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> PrepareBuilder<(T0,)> {
                /// Setter for the [`candidate` field](Prepare#structfield.candidate).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn candidate<T1>(self, value: T1) -> PrepareBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::NodeId>,
                {
                    let (v0,) = self.0;
                    PrepareBuilder((v0, value))
                }
            }

            impl<T0, T1> PrepareBuilder<(T0, T1)> {
                /// Setter for the [`pre_vote` field](Prepare#structfield.pre_vote).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn pre_vote<T2>(self, value: T2) -> PrepareBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1) = self.0;
                    PrepareBuilder((v0, v1, value))
                }

                /// Sets the [`pre_vote` field](Prepare#structfield.pre_vote) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn pre_vote_as_default(self) -> PrepareBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.pre_vote(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> PrepareBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Prepare].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Prepare>
                where
                    Self: ::planus::WriteAsOffset<Prepare>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<Prepare>> for PrepareBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Prepare>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Prepare> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<Prepare>> for PrepareBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Prepare>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Prepare>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::NodeId>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<Prepare> for PrepareBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Prepare> {
                    let (v0, v1, v2) = &self.0;
                    Prepare::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [Prepare].
            #[derive(Copy, Clone)]
            pub struct PrepareRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> PrepareRef<'a> {
                /// Getter for the [`epoch` field](Prepare#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Prepare", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`candidate` field](Prepare#structfield.candidate).
                #[inline]
                pub fn candidate(&self) -> ::planus::Result<self::NodeIdRef<'a>> {
                    self.0.access_required(1, "Prepare", "candidate")
                }

                /// Getter for the [`pre_vote` field](Prepare#structfield.pre_vote).
                #[inline]
                pub fn pre_vote(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(2, "Prepare", "pre_vote")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for PrepareRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("PrepareRef");
                    f.field("epoch", &self.epoch());
                    f.field("candidate", &self.candidate());
                    f.field("pre_vote", &self.pre_vote());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<PrepareRef<'a>> for Prepare {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: PrepareRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        candidate: ::core::convert::Into::into(value.candidate()?),
                        pre_vote: ::core::convert::TryInto::try_into(value.pre_vote()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for PrepareRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for PrepareRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[PrepareRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Prepare>> for Prepare {
                type Value = ::planus::Offset<Prepare>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Prepare>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for PrepareRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[PrepareRef]", "read_as_root", 0))
                }
            }

            ///  Answers `Prepare`. `accepted` is the newest view that the witness has accepted, `last` the end of its log.
            ///
            /// Generated from these locations:
            /// * Table `Promise` in the file `protocol.fbs:54`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Promise {
                /// The field `epoch` in the table `Promise`
                pub epoch: u64,
                /// The field `granted` in the table `Promise`
                pub granted: bool,
                /// The field `promised` in the table `Promise`
                pub promised: u64,
                /// The field `accepted` in the table `Promise`
                pub accepted: ::core::option::Option<::planus::alloc::boxed::Box<self::View>>,
                /// The field `last` in the table `Promise`
                pub last: self::Position,
                /// The field `lease_remaining_ms` in the table `Promise`
                pub lease_remaining_ms: u32,
                /// The field `pre_vote` in the table `Promise`
                pub pre_vote: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Promise {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        granted: false,
                        promised: 0,
                        accepted: ::core::default::Default::default(),
                        last: ::core::default::Default::default(),
                        lease_remaining_ms: 0,
                        pre_vote: false,
                    }
                }
            }

            impl Promise {
                /// Creates a [PromiseBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> PromiseBuilder<()> {
                    PromiseBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_granted: impl ::planus::WriteAsDefault<bool, bool>,
                    field_promised: impl ::planus::WriteAsDefault<u64, u64>,
                    field_accepted: impl ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                    field_last: impl ::planus::WriteAs<self::Position>,
                    field_lease_remaining_ms: impl ::planus::WriteAsDefault<u32, u32>,
                    field_pre_vote: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_granted = field_granted.prepare(builder, &false);
                    let prepared_promised = field_promised.prepare(builder, &0);
                    let prepared_accepted = field_accepted.prepare(builder);
                    let prepared_last = field_last.prepare(builder);
                    let prepared_lease_remaining_ms = field_lease_remaining_ms.prepare(builder, &0);
                    let prepared_pre_vote = field_pre_vote.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<18> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_promised.is_some() {
                        table_writer.write_entry::<u64>(2);
                    }
                    table_writer.write_entry::<self::Position>(4);
                    if prepared_accepted.is_some() {
                        table_writer.write_entry::<::planus::Offset<self::View>>(3);
                    }
                    if prepared_lease_remaining_ms.is_some() {
                        table_writer.write_entry::<u32>(5);
                    }
                    if prepared_granted.is_some() {
                        table_writer.write_entry::<bool>(1);
                    }
                    if prepared_pre_vote.is_some() {
                        table_writer.write_entry::<bool>(6);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            if let ::core::option::Option::Some(prepared_promised) = prepared_promised {
                                object_writer.write::<_, _, 8>(&prepared_promised);
                            }
                            object_writer.write::<_, _, 16>(&prepared_last);
                            if let ::core::option::Option::Some(prepared_accepted) = prepared_accepted {
                                object_writer.write::<_, _, 4>(&prepared_accepted);
                            }
                            if let ::core::option::Option::Some(prepared_lease_remaining_ms) =
                                prepared_lease_remaining_ms
                            {
                                object_writer.write::<_, _, 4>(&prepared_lease_remaining_ms);
                            }
                            if let ::core::option::Option::Some(prepared_granted) = prepared_granted {
                                object_writer.write::<_, _, 1>(&prepared_granted);
                            }
                            if let ::core::option::Option::Some(prepared_pre_vote) = prepared_pre_vote {
                                object_writer.write::<_, _, 1>(&prepared_pre_vote);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Promise>> for Promise {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Promise> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Promise>> for Promise {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Promise>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Promise> for Promise {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Promise> {
                    Promise::create(
                        builder,
                        self.epoch,
                        self.granted,
                        self.promised,
                        &self.accepted,
                        self.last,
                        self.lease_remaining_ms,
                        self.pre_vote,
                    )
                }
            }

            /// Builder for serializing an instance of the [Promise] type.
            ///
            /// Can be created using the [Promise::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct PromiseBuilder<State>(State);

            impl PromiseBuilder<()> {
                /// Setter for the [`epoch` field](Promise#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> PromiseBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    PromiseBuilder((value,))
                }

                /// Sets the [`epoch` field](Promise#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> PromiseBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> PromiseBuilder<(T0,)> {
                /// Setter for the [`granted` field](Promise#structfield.granted).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn granted<T1>(self, value: T1) -> PromiseBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0,) = self.0;
                    PromiseBuilder((v0, value))
                }

                /// Sets the [`granted` field](Promise#structfield.granted) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn granted_as_default(self) -> PromiseBuilder<(T0, ::planus::DefaultValue)> {
                    self.granted(::planus::DefaultValue)
                }
            }

            impl<T0, T1> PromiseBuilder<(T0, T1)> {
                /// Setter for the [`promised` field](Promise#structfield.promised).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised<T2>(self, value: T2) -> PromiseBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1) = self.0;
                    PromiseBuilder((v0, v1, value))
                }

                /// Sets the [`promised` field](Promise#structfield.promised) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised_as_default(self) -> PromiseBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.promised(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> PromiseBuilder<(T0, T1, T2)> {
                /// Setter for the [`accepted` field](Promise#structfield.accepted).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn accepted<T3>(self, value: T3) -> PromiseBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                {
                    let (v0, v1, v2) = self.0;
                    PromiseBuilder((v0, v1, v2, value))
                }

                /// Sets the [`accepted` field](Promise#structfield.accepted) to null.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn accepted_as_null(self) -> PromiseBuilder<(T0, T1, T2, ())> {
                    self.accepted(())
                }
            }

            impl<T0, T1, T2, T3> PromiseBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`last` field](Promise#structfield.last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn last<T4>(self, value: T4) -> PromiseBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<self::Position>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    PromiseBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> PromiseBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`lease_remaining_ms` field](Promise#structfield.lease_remaining_ms).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn lease_remaining_ms<T5>(self, value: T5) -> PromiseBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    PromiseBuilder((v0, v1, v2, v3, v4, value))
                }

                /// Sets the [`lease_remaining_ms` field](Promise#structfield.lease_remaining_ms) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn lease_remaining_ms_as_default(
                    self,
                ) -> PromiseBuilder<(T0, T1, T2, T3, T4, ::planus::DefaultValue)> {
                    self.lease_remaining_ms(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5> PromiseBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Setter for the [`pre_vote` field](Promise#structfield.pre_vote).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn pre_vote<T6>(self, value: T6) -> PromiseBuilder<(T0, T1, T2, T3, T4, T5, T6)>
                where
                    T6: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2, v3, v4, v5) = self.0;
                    PromiseBuilder((v0, v1, v2, v3, v4, v5, value))
                }

                /// Sets the [`pre_vote` field](Promise#structfield.pre_vote) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn pre_vote_as_default(
                    self,
                ) -> PromiseBuilder<(T0, T1, T2, T3, T4, T5, ::planus::DefaultValue)> {
                    self.pre_vote(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6> PromiseBuilder<(T0, T1, T2, T3, T4, T5, T6)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Promise].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Promise>
                where
                    Self: ::planus::WriteAsOffset<Promise>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                    T4: ::planus::WriteAs<self::Position>,
                    T5: ::planus::WriteAsDefault<u32, u32>,
                    T6: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<Promise>>
                for PromiseBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                type Prepared = ::planus::Offset<Promise>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Promise> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                    T4: ::planus::WriteAs<self::Position>,
                    T5: ::planus::WriteAsDefault<u32, u32>,
                    T6: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<Promise>>
                for PromiseBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                type Prepared = ::planus::Offset<Promise>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Promise>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                    T4: ::planus::WriteAs<self::Position>,
                    T5: ::planus::WriteAsDefault<u32, u32>,
                    T6: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<Promise> for PromiseBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Promise> {
                    let (v0, v1, v2, v3, v4, v5, v6) = &self.0;
                    Promise::create(builder, v0, v1, v2, v3, v4, v5, v6)
                }
            }

            /// Reference to a deserialized [Promise].
            #[derive(Copy, Clone)]
            pub struct PromiseRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> PromiseRef<'a> {
                /// Getter for the [`epoch` field](Promise#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Promise", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`granted` field](Promise#structfield.granted).
                #[inline]
                pub fn granted(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(1, "Promise", "granted")?.unwrap_or(false))
                }

                /// Getter for the [`promised` field](Promise#structfield.promised).
                #[inline]
                pub fn promised(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(2, "Promise", "promised")?.unwrap_or(0))
                }

                /// Getter for the [`accepted` field](Promise#structfield.accepted).
                #[inline]
                pub fn accepted(&self) -> ::planus::Result<::core::option::Option<self::ViewRef<'a>>> {
                    self.0.access(3, "Promise", "accepted")
                }

                /// Getter for the [`last` field](Promise#structfield.last).
                #[inline]
                pub fn last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(4, "Promise", "last")
                }

                /// Getter for the [`lease_remaining_ms` field](Promise#structfield.lease_remaining_ms).
                #[inline]
                pub fn lease_remaining_ms(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(
                        self.0.access(5, "Promise", "lease_remaining_ms")?.unwrap_or(0),
                    )
                }

                /// Getter for the [`pre_vote` field](Promise#structfield.pre_vote).
                #[inline]
                pub fn pre_vote(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(6, "Promise", "pre_vote")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for PromiseRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("PromiseRef");
                    f.field("epoch", &self.epoch());
                    f.field("granted", &self.granted());
                    f.field("promised", &self.promised());
                    if let ::core::option::Option::Some(field_accepted) = self.accepted().transpose() {
                        f.field("accepted", &field_accepted);
                    }
                    f.field("last", &self.last());
                    f.field("lease_remaining_ms", &self.lease_remaining_ms());
                    f.field("pre_vote", &self.pre_vote());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<PromiseRef<'a>> for Promise {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: PromiseRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        granted: ::core::convert::TryInto::try_into(value.granted()?)?,
                        promised: ::core::convert::TryInto::try_into(value.promised()?)?,
                        accepted: if let ::core::option::Option::Some(accepted) = value.accepted()? {
                            ::core::option::Option::Some(::planus::alloc::boxed::Box::new(
                                ::core::convert::TryInto::try_into(accepted)?,
                            ))
                        } else {
                            ::core::option::Option::None
                        },
                        last: ::core::convert::Into::into(value.last()?),
                        lease_remaining_ms: ::core::convert::TryInto::try_into(value.lease_remaining_ms()?)?,
                        pre_vote: ::core::convert::TryInto::try_into(value.pre_vote()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for PromiseRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for PromiseRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[PromiseRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Promise>> for Promise {
                type Value = ::planus::Offset<Promise>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Promise>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for PromiseRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[PromiseRef]", "read_as_root", 0))
                }
            }

            ///  Asks a member of the newest view for its state. From then on the member takes nothing from older epochs.
            ///
            /// Generated from these locations:
            /// * Table `FetchState` in the file `protocol.fbs:56`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct FetchState {
                /// The field `epoch` in the table `FetchState`
                pub epoch: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for FetchState {
                fn default() -> Self {
                    Self { epoch: 0 }
                }
            }

            impl FetchState {
                /// Creates a [FetchStateBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> FetchStateBuilder<()> {
                    FetchStateBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<6> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<FetchState>> for FetchState {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<FetchState> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<FetchState>> for FetchState {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<FetchState>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<FetchState> for FetchState {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<FetchState> {
                    FetchState::create(builder, self.epoch)
                }
            }

            /// Builder for serializing an instance of the [FetchState] type.
            ///
            /// Can be created using the [FetchState::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct FetchStateBuilder<State>(State);

            impl FetchStateBuilder<()> {
                /// Setter for the [`epoch` field](FetchState#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> FetchStateBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    FetchStateBuilder((value,))
                }

                /// Sets the [`epoch` field](FetchState#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> FetchStateBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> FetchStateBuilder<(T0,)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [FetchState].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<FetchState>
                where
                    Self: ::planus::WriteAsOffset<FetchState>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAsDefault<u64, u64>> ::planus::WriteAs<::planus::Offset<FetchState>>
                for FetchStateBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<FetchState>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<FetchState> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAsOptional<::planus::Offset<FetchState>> for FetchStateBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<FetchState>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<FetchState>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAsDefault<u64, u64>> ::planus::WriteAsOffset<FetchState>
                for FetchStateBuilder<(T0,)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<FetchState> {
                    let (v0,) = &self.0;
                    FetchState::create(builder, v0)
                }
            }

            /// Reference to a deserialized [FetchState].
            #[derive(Copy, Clone)]
            pub struct FetchStateRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> FetchStateRef<'a> {
                /// Getter for the [`epoch` field](FetchState#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "FetchState", "epoch")?.unwrap_or(0))
                }
            }

            impl<'a> ::core::fmt::Debug for FetchStateRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("FetchStateRef");
                    f.field("epoch", &self.epoch());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<FetchStateRef<'a>> for FetchState {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: FetchStateRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for FetchStateRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for FetchStateRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[FetchStateRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<FetchState>> for FetchState {
                type Value = ::planus::Offset<FetchState>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<FetchState>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for FetchStateRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[FetchStateRef]", "read_as_root", 0)
                    })
                }
            }

            ///  Answers `FetchState` with a snapshot and the entries after it.
            ///
            /// Generated from these locations:
            /// * Table `StateTransfer` in the file `protocol.fbs:58`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct StateTransfer {
                /// The field `epoch` in the table `StateTransfer`
                pub epoch: u64,
                /// The field `last` in the table `StateTransfer`
                pub last: self::Position,
                /// The field `snapshot_last` in the table `StateTransfer`
                pub snapshot_last: self::Position,
                /// The field `snapshot` in the table `StateTransfer`
                pub snapshot: ::planus::alloc::vec::Vec<u8>,
                /// The field `entries` in the table `StateTransfer`
                pub entries: ::planus::alloc::vec::Vec<self::Entry>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for StateTransfer {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        last: ::core::default::Default::default(),
                        snapshot_last: ::core::default::Default::default(),
                        snapshot: ::core::default::Default::default(),
                        entries: ::core::default::Default::default(),
                    }
                }
            }

            impl StateTransfer {
                /// Creates a [StateTransferBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> StateTransferBuilder<()> {
                    StateTransferBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_last: impl ::planus::WriteAs<self::Position>,
                    field_snapshot_last: impl ::planus::WriteAs<self::Position>,
                    field_snapshot: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                    field_entries: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_last = field_last.prepare(builder);
                    let prepared_snapshot_last = field_snapshot_last.prepare(builder);
                    let prepared_snapshot = field_snapshot.prepare(builder);
                    let prepared_entries = field_entries.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<14> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::Position>(1);
                    table_writer.write_entry::<self::Position>(2);
                    table_writer.write_entry::<::planus::Offset<[u8]>>(3);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::Entry>]>>(4);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_last);
                            object_writer.write::<_, _, 16>(&prepared_snapshot_last);
                            object_writer.write::<_, _, 4>(&prepared_snapshot);
                            object_writer.write::<_, _, 4>(&prepared_entries);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<StateTransfer>> for StateTransfer {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<StateTransfer> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<StateTransfer>> for StateTransfer {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<StateTransfer>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<StateTransfer> for StateTransfer {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<StateTransfer> {
                    StateTransfer::create(
                        builder,
                        self.epoch,
                        self.last,
                        self.snapshot_last,
                        &self.snapshot,
                        &self.entries,
                    )
                }
            }

            /// Builder for serializing an instance of the [StateTransfer] type.
            ///
            /// Can be created using the [StateTransfer::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct StateTransferBuilder<State>(State);

            impl StateTransferBuilder<()> {
                /// Setter for the [`epoch` field](StateTransfer#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> StateTransferBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    StateTransferBuilder((value,))
                }

                /// Sets the [`epoch` field](StateTransfer#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> StateTransferBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> StateTransferBuilder<(T0,)> {
                /// Setter for the [`last` field](StateTransfer#structfield.last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn last<T1>(self, value: T1) -> StateTransferBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::Position>,
                {
                    let (v0,) = self.0;
                    StateTransferBuilder((v0, value))
                }
            }

            impl<T0, T1> StateTransferBuilder<(T0, T1)> {
                /// Setter for the [`snapshot_last` field](StateTransfer#structfield.snapshot_last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn snapshot_last<T2>(self, value: T2) -> StateTransferBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<self::Position>,
                {
                    let (v0, v1) = self.0;
                    StateTransferBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> StateTransferBuilder<(T0, T1, T2)> {
                /// Setter for the [`snapshot` field](StateTransfer#structfield.snapshot).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn snapshot<T3>(self, value: T3) -> StateTransferBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1, v2) = self.0;
                    StateTransferBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> StateTransferBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`entries` field](StateTransfer#structfield.entries).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn entries<T4>(self, value: T4) -> StateTransferBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    StateTransferBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> StateTransferBuilder<(T0, T1, T2, T3, T4)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [StateTransfer].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<StateTransfer>
                where
                    Self: ::planus::WriteAsOffset<StateTransfer>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<self::Position>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                > ::planus::WriteAs<::planus::Offset<StateTransfer>>
                for StateTransferBuilder<(T0, T1, T2, T3, T4)>
            {
                type Prepared = ::planus::Offset<StateTransfer>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<StateTransfer> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<self::Position>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                > ::planus::WriteAsOptional<::planus::Offset<StateTransfer>>
                for StateTransferBuilder<(T0, T1, T2, T3, T4)>
            {
                type Prepared = ::planus::Offset<StateTransfer>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<StateTransfer>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<self::Position>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                > ::planus::WriteAsOffset<StateTransfer> for StateTransferBuilder<(T0, T1, T2, T3, T4)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<StateTransfer> {
                    let (v0, v1, v2, v3, v4) = &self.0;
                    StateTransfer::create(builder, v0, v1, v2, v3, v4)
                }
            }

            /// Reference to a deserialized [StateTransfer].
            #[derive(Copy, Clone)]
            pub struct StateTransferRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> StateTransferRef<'a> {
                /// Getter for the [`epoch` field](StateTransfer#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "StateTransfer", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`last` field](StateTransfer#structfield.last).
                #[inline]
                pub fn last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(1, "StateTransfer", "last")
                }

                /// Getter for the [`snapshot_last` field](StateTransfer#structfield.snapshot_last).
                #[inline]
                pub fn snapshot_last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(2, "StateTransfer", "snapshot_last")
                }

                /// Getter for the [`snapshot` field](StateTransfer#structfield.snapshot).
                #[inline]
                pub fn snapshot(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(3, "StateTransfer", "snapshot")
                }

                /// Getter for the [`entries` field](StateTransfer#structfield.entries).
                #[inline]
                pub fn entries(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::EntryRef<'a>>>>
                {
                    self.0.access_required(4, "StateTransfer", "entries")
                }
            }

            impl<'a> ::core::fmt::Debug for StateTransferRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("StateTransferRef");
                    f.field("epoch", &self.epoch());
                    f.field("last", &self.last());
                    f.field("snapshot_last", &self.snapshot_last());
                    f.field("snapshot", &self.snapshot());
                    f.field("entries", &self.entries());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<StateTransferRef<'a>> for StateTransfer {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: StateTransferRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        last: ::core::convert::Into::into(value.last()?),
                        snapshot_last: ::core::convert::Into::into(value.snapshot_last()?),
                        snapshot: value.snapshot()?.to_vec(),
                        entries: value.entries()?.to_vec_result()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for StateTransferRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for StateTransferRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[StateTransferRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<StateTransfer>> for StateTransfer {
                type Value = ::planus::Offset<StateTransfer>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<StateTransfer>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for StateTransferRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[StateTransferRef]", "read_as_root", 0)
                    })
                }
            }

            ///  Replaces the state of a member or learner.
            ///
            /// Generated from these locations:
            /// * Table `Install` in the file `protocol.fbs:60`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Install {
                /// The field `epoch` in the table `Install`
                pub epoch: u64,
                /// The field `snapshot_last` in the table `Install`
                pub snapshot_last: self::Position,
                /// The field `snapshot` in the table `Install`
                pub snapshot: ::planus::alloc::vec::Vec<u8>,
                /// The field `entries` in the table `Install`
                pub entries: ::planus::alloc::vec::Vec<self::Entry>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Install {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        snapshot_last: ::core::default::Default::default(),
                        snapshot: ::core::default::Default::default(),
                        entries: ::core::default::Default::default(),
                    }
                }
            }

            impl Install {
                /// Creates a [InstallBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> InstallBuilder<()> {
                    InstallBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_snapshot_last: impl ::planus::WriteAs<self::Position>,
                    field_snapshot: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                    field_entries: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_snapshot_last = field_snapshot_last.prepare(builder);
                    let prepared_snapshot = field_snapshot.prepare(builder);
                    let prepared_entries = field_entries.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::Position>(1);
                    table_writer.write_entry::<::planus::Offset<[u8]>>(2);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::Entry>]>>(3);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_snapshot_last);
                            object_writer.write::<_, _, 4>(&prepared_snapshot);
                            object_writer.write::<_, _, 4>(&prepared_entries);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Install>> for Install {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Install> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Install>> for Install {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Install>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Install> for Install {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Install> {
                    Install::create(builder, self.epoch, self.snapshot_last, &self.snapshot, &self.entries)
                }
            }

            /// Builder for serializing an instance of the [Install] type.
            ///
            /// Can be created using the [Install::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct InstallBuilder<State>(State);

            impl InstallBuilder<()> {
                /// Setter for the [`epoch` field](Install#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> InstallBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    InstallBuilder((value,))
                }

                /// Sets the [`epoch` field](Install#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> InstallBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> InstallBuilder<(T0,)> {
                /// Setter for the [`snapshot_last` field](Install#structfield.snapshot_last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn snapshot_last<T1>(self, value: T1) -> InstallBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::Position>,
                {
                    let (v0,) = self.0;
                    InstallBuilder((v0, value))
                }
            }

            impl<T0, T1> InstallBuilder<(T0, T1)> {
                /// Setter for the [`snapshot` field](Install#structfield.snapshot).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn snapshot<T2>(self, value: T2) -> InstallBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1) = self.0;
                    InstallBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> InstallBuilder<(T0, T1, T2)> {
                /// Setter for the [`entries` field](Install#structfield.entries).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn entries<T3>(self, value: T3) -> InstallBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                {
                    let (v0, v1, v2) = self.0;
                    InstallBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> InstallBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Install].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Install>
                where
                    Self: ::planus::WriteAsOffset<Install>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                > ::planus::WriteAs<::planus::Offset<Install>> for InstallBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<Install>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Install> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Install>> for InstallBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<Install>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Install>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                > ::planus::WriteAsOffset<Install> for InstallBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Install> {
                    let (v0, v1, v2, v3) = &self.0;
                    Install::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [Install].
            #[derive(Copy, Clone)]
            pub struct InstallRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> InstallRef<'a> {
                /// Getter for the [`epoch` field](Install#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Install", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`snapshot_last` field](Install#structfield.snapshot_last).
                #[inline]
                pub fn snapshot_last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(1, "Install", "snapshot_last")
                }

                /// Getter for the [`snapshot` field](Install#structfield.snapshot).
                #[inline]
                pub fn snapshot(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(2, "Install", "snapshot")
                }

                /// Getter for the [`entries` field](Install#structfield.entries).
                #[inline]
                pub fn entries(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::EntryRef<'a>>>>
                {
                    self.0.access_required(3, "Install", "entries")
                }
            }

            impl<'a> ::core::fmt::Debug for InstallRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("InstallRef");
                    f.field("epoch", &self.epoch());
                    f.field("snapshot_last", &self.snapshot_last());
                    f.field("snapshot", &self.snapshot());
                    f.field("entries", &self.entries());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<InstallRef<'a>> for Install {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: InstallRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        snapshot_last: ::core::convert::Into::into(value.snapshot_last()?),
                        snapshot: value.snapshot()?.to_vec(),
                        entries: value.entries()?.to_vec_result()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for InstallRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for InstallRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[InstallRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Install>> for Install {
                type Value = ::planus::Offset<Install>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Install>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for InstallRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[InstallRef]", "read_as_root", 0))
                }
            }

            ///  Answers `Install`, once the state is durable.
            ///
            /// Generated from these locations:
            /// * Table `Installed` in the file `protocol.fbs:62`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Installed {
                /// The field `epoch` in the table `Installed`
                pub epoch: u64,
                /// The field `last` in the table `Installed`
                pub last: self::Position,
                /// The field `ok` in the table `Installed`
                pub ok: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Installed {
                fn default() -> Self {
                    Self { epoch: 0, last: ::core::default::Default::default(), ok: false }
                }
            }

            impl Installed {
                /// Creates a [InstalledBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> InstalledBuilder<()> {
                    InstalledBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_last: impl ::planus::WriteAs<self::Position>,
                    field_ok: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_last = field_last.prepare(builder);
                    let prepared_ok = field_ok.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::Position>(1);
                    if prepared_ok.is_some() {
                        table_writer.write_entry::<bool>(2);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_last);
                            if let ::core::option::Option::Some(prepared_ok) = prepared_ok {
                                object_writer.write::<_, _, 1>(&prepared_ok);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Installed>> for Installed {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Installed> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Installed>> for Installed {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Installed>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Installed> for Installed {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Installed> {
                    Installed::create(builder, self.epoch, self.last, self.ok)
                }
            }

            /// Builder for serializing an instance of the [Installed] type.
            ///
            /// Can be created using the [Installed::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct InstalledBuilder<State>(State);

            impl InstalledBuilder<()> {
                /// Setter for the [`epoch` field](Installed#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> InstalledBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    InstalledBuilder((value,))
                }

                /// Sets the [`epoch` field](Installed#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> InstalledBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> InstalledBuilder<(T0,)> {
                /// Setter for the [`last` field](Installed#structfield.last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn last<T1>(self, value: T1) -> InstalledBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::Position>,
                {
                    let (v0,) = self.0;
                    InstalledBuilder((v0, value))
                }
            }

            impl<T0, T1> InstalledBuilder<(T0, T1)> {
                /// Setter for the [`ok` field](Installed#structfield.ok).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn ok<T2>(self, value: T2) -> InstalledBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1) = self.0;
                    InstalledBuilder((v0, v1, value))
                }

                /// Sets the [`ok` field](Installed#structfield.ok) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn ok_as_default(self) -> InstalledBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.ok(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> InstalledBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Installed].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Installed>
                where
                    Self: ::planus::WriteAsOffset<Installed>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<Installed>> for InstalledBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Installed>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Installed> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<Installed>> for InstalledBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Installed>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Installed>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<Installed> for InstalledBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Installed> {
                    let (v0, v1, v2) = &self.0;
                    Installed::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [Installed].
            #[derive(Copy, Clone)]
            pub struct InstalledRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> InstalledRef<'a> {
                /// Getter for the [`epoch` field](Installed#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Installed", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`last` field](Installed#structfield.last).
                #[inline]
                pub fn last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(1, "Installed", "last")
                }

                /// Getter for the [`ok` field](Installed#structfield.ok).
                #[inline]
                pub fn ok(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(2, "Installed", "ok")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for InstalledRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("InstalledRef");
                    f.field("epoch", &self.epoch());
                    f.field("last", &self.last());
                    f.field("ok", &self.ok());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<InstalledRef<'a>> for Installed {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: InstalledRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        last: ::core::convert::Into::into(value.last()?),
                        ok: ::core::convert::TryInto::try_into(value.ok()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for InstalledRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for InstalledRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[InstalledRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Installed>> for Installed {
                type Value = ::planus::Offset<Installed>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Installed>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for InstalledRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[InstalledRef]", "read_as_root", 0))
                }
            }

            ///  Asks a witness to accept a view.
            ///
            /// Generated from these locations:
            /// * Table `Accept` in the file `protocol.fbs:64`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Accept {
                /// The field `view` in the table `Accept`
                pub view: ::planus::alloc::boxed::Box<self::View>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Accept {
                fn default() -> Self {
                    Self { view: ::core::default::Default::default() }
                }
            }

            impl Accept {
                /// Creates a [AcceptBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> AcceptBuilder<()> {
                    AcceptBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_view: impl ::planus::WriteAs<::planus::Offset<self::View>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_view = field_view.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<6> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<self::View>>(0);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_view);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Accept>> for Accept {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accept> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Accept>> for Accept {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Accept>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Accept> for Accept {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accept> {
                    Accept::create(builder, &self.view)
                }
            }

            /// Builder for serializing an instance of the [Accept] type.
            ///
            /// Can be created using the [Accept::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct AcceptBuilder<State>(State);

            impl AcceptBuilder<()> {
                /// Setter for the [`view` field](Accept#structfield.view).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn view<T0>(self, value: T0) -> AcceptBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<self::View>>,
                {
                    AcceptBuilder((value,))
                }
            }

            impl<T0> AcceptBuilder<(T0,)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Accept].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accept>
                where
                    Self: ::planus::WriteAsOffset<Accept>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<self::View>>>
                ::planus::WriteAs<::planus::Offset<Accept>> for AcceptBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<Accept>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accept> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<self::View>>>
                ::planus::WriteAsOptional<::planus::Offset<Accept>> for AcceptBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<Accept>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Accept>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<self::View>>> ::planus::WriteAsOffset<Accept>
                for AcceptBuilder<(T0,)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accept> {
                    let (v0,) = &self.0;
                    Accept::create(builder, v0)
                }
            }

            /// Reference to a deserialized [Accept].
            #[derive(Copy, Clone)]
            pub struct AcceptRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> AcceptRef<'a> {
                /// Getter for the [`view` field](Accept#structfield.view).
                #[inline]
                pub fn view(&self) -> ::planus::Result<self::ViewRef<'a>> {
                    self.0.access_required(0, "Accept", "view")
                }
            }

            impl<'a> ::core::fmt::Debug for AcceptRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("AcceptRef");
                    f.field("view", &self.view());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<AcceptRef<'a>> for Accept {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: AcceptRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        view: ::planus::alloc::boxed::Box::new(::core::convert::TryInto::try_into(
                            value.view()?,
                        )?),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for AcceptRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    ::core::result::Result::Ok(Self(::planus::table_reader::Table::from_buffer(
                        buffer, offset,
                    )?))
                }
            }

            impl<'a> ::planus::VectorReadInner<'a> for AcceptRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[AcceptRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Accept>> for Accept {
                type Value = ::planus::Offset<Accept>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Accept>],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 4];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (Self::STRIDE * i) as u32,
                        );
                    }
