                }
            }

            impl<'a> ::planus::ReadAsRoot<'a> for AcceptRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[AcceptRef]", "read_as_root", 0))
                }
            }

            ///  Answers `Accept`.
            ///
            /// Generated from these locations:
            /// * Table `Accepted` in the file `protocol.fbs:66`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Accepted {
                /// The field `epoch` in the table `Accepted`
                pub epoch: u64,
                /// The field `granted` in the table `Accepted`
                pub granted: bool,
                /// The field `promised` in the table `Accepted`
                pub promised: u64,
                /// The field `activated` in the table `Accepted`
                pub activated: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Accepted {
                fn default() -> Self {
                    Self { epoch: 0, granted: false, promised: 0, activated: false }
                }
            }

            impl Accepted {
                /// Creates a [AcceptedBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> AcceptedBuilder<()> {
                    AcceptedBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_granted: impl ::planus::WriteAsDefault<bool, bool>,
                    field_promised: impl ::planus::WriteAsDefault<u64, u64>,
                    field_activated: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_granted = field_granted.prepare(builder, &false);
                    let prepared_promised = field_promised.prepare(builder, &0);
                    let prepared_activated = field_activated.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_promised.is_some() {
                        table_writer.write_entry::<u64>(2);
                    }
                    if prepared_granted.is_some() {
                        table_writer.write_entry::<bool>(1);
                    }
                    if prepared_activated.is_some() {
                        table_writer.write_entry::<bool>(3);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            if let ::core::option::Option::Some(prepared_promised) = prepared_promised {
                                object_writer.write::<_, _, 8>(&prepared_promised);
                            }
                            if let ::core::option::Option::Some(prepared_granted) = prepared_granted {
                                object_writer.write::<_, _, 1>(&prepared_granted);
                            }
                            if let ::core::option::Option::Some(prepared_activated) = prepared_activated {
                                object_writer.write::<_, _, 1>(&prepared_activated);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Accepted>> for Accepted {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accepted> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Accepted>> for Accepted {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Accepted>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Accepted> for Accepted {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accepted> {
                    Accepted::create(builder, self.epoch, self.granted, self.promised, self.activated)
                }
            }

            /// Builder for serializing an instance of the [Accepted] type.
            ///
            /// Can be created using the [Accepted::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct AcceptedBuilder<State>(State);

            impl AcceptedBuilder<()> {
                /// Setter for the [`epoch` field](Accepted#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> AcceptedBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    AcceptedBuilder((value,))
                }

                /// Sets the [`epoch` field](Accepted#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> AcceptedBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> AcceptedBuilder<(T0,)> {
                /// Setter for the [`granted` field](Accepted#structfield.granted).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn granted<T1>(self, value: T1) -> AcceptedBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0,) = self.0;
                    AcceptedBuilder((v0, value))
                }

                /// Sets the [`granted` field](Accepted#structfield.granted) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn granted_as_default(self) -> AcceptedBuilder<(T0, ::planus::DefaultValue)> {
                    self.granted(::planus::DefaultValue)
                }
            }

            impl<T0, T1> AcceptedBuilder<(T0, T1)> {
                /// Setter for the [`promised` field](Accepted#structfield.promised).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised<T2>(self, value: T2) -> AcceptedBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1) = self.0;
                    AcceptedBuilder((v0, v1, value))
                }

                /// Sets the [`promised` field](Accepted#structfield.promised) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised_as_default(self) -> AcceptedBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.promised(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> AcceptedBuilder<(T0, T1, T2)> {
                /// Setter for the [`activated` field](Accepted#structfield.activated).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn activated<T3>(self, value: T3) -> AcceptedBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2) = self.0;
                    AcceptedBuilder((v0, v1, v2, value))
                }

                /// Sets the [`activated` field](Accepted#structfield.activated) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn activated_as_default(self) -> AcceptedBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.activated(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> AcceptedBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Accepted].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accepted>
                where
                    Self: ::planus::WriteAsOffset<Accepted>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<Accepted>> for AcceptedBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<Accepted>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accepted> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<Accepted>>
                for AcceptedBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<Accepted>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Accepted>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<Accepted> for AcceptedBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Accepted> {
                    let (v0, v1, v2, v3) = &self.0;
                    Accepted::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [Accepted].
            #[derive(Copy, Clone)]
            pub struct AcceptedRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> AcceptedRef<'a> {
                /// Getter for the [`epoch` field](Accepted#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Accepted", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`granted` field](Accepted#structfield.granted).
                #[inline]
                pub fn granted(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(1, "Accepted", "granted")?.unwrap_or(false))
                }

                /// Getter for the [`promised` field](Accepted#structfield.promised).
                #[inline]
                pub fn promised(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(2, "Accepted", "promised")?.unwrap_or(0))
                }

                /// Getter for the [`activated` field](Accepted#structfield.activated).
                #[inline]
                pub fn activated(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(3, "Accepted", "activated")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for AcceptedRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("AcceptedRef");
                    f.field("epoch", &self.epoch());
                    f.field("granted", &self.granted());
                    f.field("promised", &self.promised());
                    f.field("activated", &self.activated());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<AcceptedRef<'a>> for Accepted {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: AcceptedRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        granted: ::core::convert::TryInto::try_into(value.granted()?)?,
                        promised: ::core::convert::TryInto::try_into(value.promised()?)?,
                        activated: ::core::convert::TryInto::try_into(value.activated()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for AcceptedRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for AcceptedRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[AcceptedRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Accepted>> for Accepted {
                type Value = ::planus::Offset<Accepted>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Accepted>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for AcceptedRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[AcceptedRef]", "read_as_root", 0))
                }
            }

            ///  Appends entries after `previous`, and tells up to which index the log is committed.
            ///
            /// Generated from these locations:
            /// * Table `Append` in the file `protocol.fbs:68`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Append {
                /// The field `epoch` in the table `Append`
                pub epoch: u64,
                /// The field `previous` in the table `Append`
                pub previous: self::Position,
                /// The field `entries` in the table `Append`
                pub entries: ::planus::alloc::vec::Vec<self::Entry>,
                /// The field `committed` in the table `Append`
                pub committed: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Append {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        previous: ::core::default::Default::default(),
                        entries: ::core::default::Default::default(),
                        committed: 0,
                    }
                }
            }

            impl Append {
                /// Creates a [AppendBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> AppendBuilder<()> {
                    AppendBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_previous: impl ::planus::WriteAs<self::Position>,
                    field_entries: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                    field_committed: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_previous = field_previous.prepare(builder);
                    let prepared_entries = field_entries.prepare(builder);
                    let prepared_committed = field_committed.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::Position>(1);
                    if prepared_committed.is_some() {
                        table_writer.write_entry::<u64>(3);
                    }
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::Entry>]>>(2);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_previous);
                            if let ::core::option::Option::Some(prepared_committed) = prepared_committed {
                                object_writer.write::<_, _, 8>(&prepared_committed);
                            }
                            object_writer.write::<_, _, 4>(&prepared_entries);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Append>> for Append {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Append> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Append>> for Append {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Append>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Append> for Append {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Append> {
                    Append::create(builder, self.epoch, self.previous, &self.entries, self.committed)
                }
            }

            /// Builder for serializing an instance of the [Append] type.
            ///
            /// Can be created using the [Append::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct AppendBuilder<State>(State);

            impl AppendBuilder<()> {
                /// Setter for the [`epoch` field](Append#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> AppendBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    AppendBuilder((value,))
                }

                /// Sets the [`epoch` field](Append#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> AppendBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> AppendBuilder<(T0,)> {
                /// Setter for the [`previous` field](Append#structfield.previous).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn previous<T1>(self, value: T1) -> AppendBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::Position>,
                {
                    let (v0,) = self.0;
                    AppendBuilder((v0, value))
                }
            }

            impl<T0, T1> AppendBuilder<(T0, T1)> {
                /// Setter for the [`entries` field](Append#structfield.entries).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn entries<T2>(self, value: T2) -> AppendBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                {
                    let (v0, v1) = self.0;
                    AppendBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> AppendBuilder<(T0, T1, T2)> {
                /// Setter for the [`committed` field](Append#structfield.committed).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn committed<T3>(self, value: T3) -> AppendBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2) = self.0;
                    AppendBuilder((v0, v1, v2, value))
                }

                /// Sets the [`committed` field](Append#structfield.committed) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn committed_as_default(self) -> AppendBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.committed(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> AppendBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Append].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Append>
                where
                    Self: ::planus::WriteAsOffset<Append>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAs<::planus::Offset<Append>> for AppendBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<Append>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Append> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOptional<::planus::Offset<Append>> for AppendBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<Append>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Append>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Entry>]>>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOffset<Append> for AppendBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Append> {
                    let (v0, v1, v2, v3) = &self.0;
                    Append::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [Append].
            #[derive(Copy, Clone)]
            pub struct AppendRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> AppendRef<'a> {
                /// Getter for the [`epoch` field](Append#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Append", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`previous` field](Append#structfield.previous).
                #[inline]
                pub fn previous(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(1, "Append", "previous")
                }

                /// Getter for the [`entries` field](Append#structfield.entries).
                #[inline]
                pub fn entries(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::EntryRef<'a>>>>
                {
                    self.0.access_required(2, "Append", "entries")
                }

                /// Getter for the [`committed` field](Append#structfield.committed).
                #[inline]
                pub fn committed(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(3, "Append", "committed")?.unwrap_or(0))
                }
            }

            impl<'a> ::core::fmt::Debug for AppendRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("AppendRef");
                    f.field("epoch", &self.epoch());
                    f.field("previous", &self.previous());
                    f.field("entries", &self.entries());
                    f.field("committed", &self.committed());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<AppendRef<'a>> for Append {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: AppendRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        previous: ::core::convert::Into::into(value.previous()?),
                        entries: value.entries()?.to_vec_result()?,
                        committed: ::core::convert::TryInto::try_into(value.committed()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for AppendRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for AppendRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[AppendRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Append>> for Append {
                type Value = ::planus::Offset<Append>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Append>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for AppendRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[AppendRef]", "read_as_root", 0))
                }
            }

            ///  Answers `Append`: the log of the sender matches up to `last`, or only up to there does it surely match.
            ///
            /// Generated from these locations:
            /// * Table `AppendAck` in the file `protocol.fbs:70`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct AppendAck {
                /// The field `epoch` in the table `AppendAck`
                pub epoch: u64,
                /// The field `last` in the table `AppendAck`
                pub last: self::Position,
                /// The field `matched` in the table `AppendAck`
                pub matched: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for AppendAck {
                fn default() -> Self {
                    Self { epoch: 0, last: ::core::default::Default::default(), matched: false }
                }
            }

            impl AppendAck {
                /// Creates a [AppendAckBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> AppendAckBuilder<()> {
                    AppendAckBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_last: impl ::planus::WriteAs<self::Position>,
                    field_matched: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_last = field_last.prepare(builder);
                    let prepared_matched = field_matched.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    table_writer.write_entry::<self::Position>(1);
                    if prepared_matched.is_some() {
                        table_writer.write_entry::<bool>(2);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            object_writer.write::<_, _, 16>(&prepared_last);
                            if let ::core::option::Option::Some(prepared_matched) = prepared_matched {
                                object_writer.write::<_, _, 1>(&prepared_matched);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<AppendAck>> for AppendAck {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppendAck> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<AppendAck>> for AppendAck {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<AppendAck>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<AppendAck> for AppendAck {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppendAck> {
                    AppendAck::create(builder, self.epoch, self.last, self.matched)
                }
            }

            /// Builder for serializing an instance of the [AppendAck] type.
            ///
            /// Can be created using the [AppendAck::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct AppendAckBuilder<State>(State);

            impl AppendAckBuilder<()> {
                /// Setter for the [`epoch` field](AppendAck#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> AppendAckBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    AppendAckBuilder((value,))
                }

                /// Sets the [`epoch` field](AppendAck#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> AppendAckBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> AppendAckBuilder<(T0,)> {
                /// Setter for the [`last` field](AppendAck#structfield.last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn last<T1>(self, value: T1) -> AppendAckBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::Position>,
                {
                    let (v0,) = self.0;
                    AppendAckBuilder((v0, value))
                }
            }

            impl<T0, T1> AppendAckBuilder<(T0, T1)> {
                /// Setter for the [`matched` field](AppendAck#structfield.matched).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn matched<T2>(self, value: T2) -> AppendAckBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1) = self.0;
                    AppendAckBuilder((v0, v1, value))
                }

                /// Sets the [`matched` field](AppendAck#structfield.matched) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn matched_as_default(self) -> AppendAckBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.matched(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> AppendAckBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [AppendAck].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppendAck>
                where
                    Self: ::planus::WriteAsOffset<AppendAck>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<AppendAck>> for AppendAckBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<AppendAck>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppendAck> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<AppendAck>> for AppendAckBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<AppendAck>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<AppendAck>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<self::Position>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<AppendAck> for AppendAckBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppendAck> {
                    let (v0, v1, v2) = &self.0;
                    AppendAck::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [AppendAck].
            #[derive(Copy, Clone)]
            pub struct AppendAckRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> AppendAckRef<'a> {
                /// Getter for the [`epoch` field](AppendAck#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "AppendAck", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`last` field](AppendAck#structfield.last).
                #[inline]
                pub fn last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(1, "AppendAck", "last")
                }

                /// Getter for the [`matched` field](AppendAck#structfield.matched).
                #[inline]
                pub fn matched(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(2, "AppendAck", "matched")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for AppendAckRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("AppendAckRef");
                    f.field("epoch", &self.epoch());
                    f.field("last", &self.last());
                    f.field("matched", &self.matched());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<AppendAckRef<'a>> for AppendAck {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: AppendAckRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        last: ::core::convert::Into::into(value.last()?),
                        matched: ::core::convert::TryInto::try_into(value.matched()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for AppendAckRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for AppendAckRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[AppendAckRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<AppendAck>> for AppendAck {
                type Value = ::planus::Offset<AppendAck>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<AppendAck>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for AppendAckRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[AppendAckRef]", "read_as_root", 0))
                }
            }

            ///  The heartbeat of a primary: asks for its lease, and tells its view and what is committed. One of round 0 asks for an
            ///  answer only: no lease is granted.
            ///
            /// Generated from these locations:
            /// * Table `LeaseRequest` in the file `protocol.fbs:72`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct LeaseRequest {
                /// The field `epoch` in the table `LeaseRequest`
                pub epoch: u64,
                /// The field `round` in the table `LeaseRequest`
                pub round: u64,
                /// The field `view` in the table `LeaseRequest`
                pub view: ::planus::alloc::boxed::Box<self::View>,
                /// The field `committed` in the table `LeaseRequest`
                pub committed: u64,
                /// The field `holds_lease` in the table `LeaseRequest`
                pub holds_lease: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for LeaseRequest {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        round: 0,
                        view: ::core::default::Default::default(),
                        committed: 0,
                        holds_lease: false,
                    }
                }
            }

            impl LeaseRequest {
                /// Creates a [LeaseRequestBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> LeaseRequestBuilder<()> {
                    LeaseRequestBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_round: impl ::planus::WriteAsDefault<u64, u64>,
                    field_view: impl ::planus::WriteAs<::planus::Offset<self::View>>,
                    field_committed: impl ::planus::WriteAsDefault<u64, u64>,
                    field_holds_lease: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_round = field_round.prepare(builder, &0);
                    let prepared_view = field_view.prepare(builder);
                    let prepared_committed = field_committed.prepare(builder, &0);
                    let prepared_holds_lease = field_holds_lease.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<14> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_round.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    if prepared_committed.is_some() {
                        table_writer.write_entry::<u64>(3);
                    }
                    table_writer.write_entry::<::planus::Offset<self::View>>(2);
                    if prepared_holds_lease.is_some() {
                        table_writer.write_entry::<bool>(4);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            if let ::core::option::Option::Some(prepared_round) = prepared_round {
                                object_writer.write::<_, _, 8>(&prepared_round);
                            }
                            if let ::core::option::Option::Some(prepared_committed) = prepared_committed {
                                object_writer.write::<_, _, 8>(&prepared_committed);
                            }
                            object_writer.write::<_, _, 4>(&prepared_view);
                            if let ::core::option::Option::Some(prepared_holds_lease) = prepared_holds_lease {
                                object_writer.write::<_, _, 1>(&prepared_holds_lease);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<LeaseRequest>> for LeaseRequest {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseRequest> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<LeaseRequest>> for LeaseRequest {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<LeaseRequest>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<LeaseRequest> for LeaseRequest {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseRequest> {
                    LeaseRequest::create(
                        builder,
                        self.epoch,
                        self.round,
                        &self.view,
                        self.committed,
                        self.holds_lease,
                    )
                }
            }

            /// Builder for serializing an instance of the [LeaseRequest] type.
            ///
            /// Can be created using the [LeaseRequest::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct LeaseRequestBuilder<State>(State);

            impl LeaseRequestBuilder<()> {
                /// Setter for the [`epoch` field](LeaseRequest#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> LeaseRequestBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    LeaseRequestBuilder((value,))
                }

                /// Sets the [`epoch` field](LeaseRequest#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> LeaseRequestBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> LeaseRequestBuilder<(T0,)> {
                /// Setter for the [`round` field](LeaseRequest#structfield.round).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn round<T1>(self, value: T1) -> LeaseRequestBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    LeaseRequestBuilder((v0, value))
                }

                /// Sets the [`round` field](LeaseRequest#structfield.round) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn round_as_default(self) -> LeaseRequestBuilder<(T0, ::planus::DefaultValue)> {
                    self.round(::planus::DefaultValue)
                }
            }

            impl<T0, T1> LeaseRequestBuilder<(T0, T1)> {
                /// Setter for the [`view` field](LeaseRequest#structfield.view).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn view<T2>(self, value: T2) -> LeaseRequestBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<self::View>>,
                {
                    let (v0, v1) = self.0;
                    LeaseRequestBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> LeaseRequestBuilder<(T0, T1, T2)> {
                /// Setter for the [`committed` field](LeaseRequest#structfield.committed).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn committed<T3>(self, value: T3) -> LeaseRequestBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2) = self.0;
                    LeaseRequestBuilder((v0, v1, v2, value))
                }

                /// Sets the [`committed` field](LeaseRequest#structfield.committed) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn committed_as_default(
                    self,
                ) -> LeaseRequestBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.committed(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> LeaseRequestBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`holds_lease` field](LeaseRequest#structfield.holds_lease).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn holds_lease<T4>(self, value: T4) -> LeaseRequestBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    LeaseRequestBuilder((v0, v1, v2, v3, value))
                }

                /// Sets the [`holds_lease` field](LeaseRequest#structfield.holds_lease) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn holds_lease_as_default(
                    self,
                ) -> LeaseRequestBuilder<(T0, T1, T2, T3, ::planus::DefaultValue)> {
                    self.holds_lease(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4> LeaseRequestBuilder<(T0, T1, T2, T3, T4)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [LeaseRequest].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseRequest>
                where
                    Self: ::planus::WriteAsOffset<LeaseRequest>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<::planus::Offset<self::View>>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<LeaseRequest>>
                for LeaseRequestBuilder<(T0, T1, T2, T3, T4)>
            {
                type Prepared = ::planus::Offset<LeaseRequest>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseRequest> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<::planus::Offset<self::View>>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<LeaseRequest>>
                for LeaseRequestBuilder<(T0, T1, T2, T3, T4)>
            {
                type Prepared = ::planus::Offset<LeaseRequest>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<LeaseRequest>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<::planus::Offset<self::View>>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<LeaseRequest> for LeaseRequestBuilder<(T0, T1, T2, T3, T4)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseRequest> {
                    let (v0, v1, v2, v3, v4) = &self.0;
                    LeaseRequest::create(builder, v0, v1, v2, v3, v4)
                }
            }

            /// Reference to a deserialized [LeaseRequest].
            #[derive(Copy, Clone)]
            pub struct LeaseRequestRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> LeaseRequestRef<'a> {
                /// Getter for the [`epoch` field](LeaseRequest#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "LeaseRequest", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`round` field](LeaseRequest#structfield.round).
                #[inline]
                pub fn round(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "LeaseRequest", "round")?.unwrap_or(0))
                }

                /// Getter for the [`view` field](LeaseRequest#structfield.view).
                #[inline]
                pub fn view(&self) -> ::planus::Result<self::ViewRef<'a>> {
                    self.0.access_required(2, "LeaseRequest", "view")
                }

                /// Getter for the [`committed` field](LeaseRequest#structfield.committed).
                #[inline]
                pub fn committed(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(3, "LeaseRequest", "committed")?.unwrap_or(0))
                }

                /// Getter for the [`holds_lease` field](LeaseRequest#structfield.holds_lease).
                #[inline]
                pub fn holds_lease(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(
                        self.0.access(4, "LeaseRequest", "holds_lease")?.unwrap_or(false),
                    )
                }
            }

            impl<'a> ::core::fmt::Debug for LeaseRequestRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("LeaseRequestRef");
                    f.field("epoch", &self.epoch());
                    f.field("round", &self.round());
                    f.field("view", &self.view());
                    f.field("committed", &self.committed());
                    f.field("holds_lease", &self.holds_lease());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<LeaseRequestRef<'a>> for LeaseRequest {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: LeaseRequestRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        round: ::core::convert::TryInto::try_into(value.round()?)?,
                        view: ::planus::alloc::boxed::Box::new(::core::convert::TryInto::try_into(
                            value.view()?,
                        )?),
                        committed: ::core::convert::TryInto::try_into(value.committed()?)?,
                        holds_lease: ::core::convert::TryInto::try_into(value.holds_lease()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for LeaseRequestRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for LeaseRequestRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[LeaseRequestRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<LeaseRequest>> for LeaseRequest {
                type Value = ::planus::Offset<LeaseRequest>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<LeaseRequest>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for LeaseRequestRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[LeaseRequestRef]", "read_as_root", 0)
                    })
                }
            }

            ///  Answers `LeaseRequest`.
            ///
            /// Generated from these locations:
            /// * Table `LeaseGrant` in the file `protocol.fbs:74`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct LeaseGrant {
                /// The field `epoch` in the table `LeaseGrant`
                pub epoch: u64,
                /// The field `round` in the table `LeaseGrant`
                pub round: u64,
                /// The field `granted` in the table `LeaseGrant`
                pub granted: bool,
                /// The field `promised` in the table `LeaseGrant`
                pub promised: u64,
                /// The field `last` in the table `LeaseGrant`
                pub last: self::Position,
                /// The field `member` in the table `LeaseGrant`
                pub member: bool,
                /// The field `witness` in the table `LeaseGrant`
                pub witness: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for LeaseGrant {
                fn default() -> Self {
                    Self {
                        epoch: 0,
                        round: 0,
                        granted: false,
                        promised: 0,
                        last: ::core::default::Default::default(),
                        member: false,
                        witness: false,
                    }
                }
            }

            impl LeaseGrant {
                /// Creates a [LeaseGrantBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> LeaseGrantBuilder<()> {
                    LeaseGrantBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_round: impl ::planus::WriteAsDefault<u64, u64>,
                    field_granted: impl ::planus::WriteAsDefault<bool, bool>,
                    field_promised: impl ::planus::WriteAsDefault<u64, u64>,
                    field_last: impl ::planus::WriteAs<self::Position>,
                    field_member: impl ::planus::WriteAsDefault<bool, bool>,
                    field_witness: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_round = field_round.prepare(builder, &0);
                    let prepared_granted = field_granted.prepare(builder, &false);
                    let prepared_promised = field_promised.prepare(builder, &0);
                    let prepared_last = field_last.prepare(builder);
                    let prepared_member = field_member.prepare(builder, &false);
                    let prepared_witness = field_witness.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<18> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_round.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    if prepared_promised.is_some() {
                        table_writer.write_entry::<u64>(3);
                    }
                    table_writer.write_entry::<self::Position>(4);
                    if prepared_granted.is_some() {
                        table_writer.write_entry::<bool>(2);
                    }
                    if prepared_member.is_some() {
                        table_writer.write_entry::<bool>(5);
                    }
                    if prepared_witness.is_some() {
                        table_writer.write_entry::<bool>(6);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            if let ::core::option::Option::Some(prepared_round) = prepared_round {
                                object_writer.write::<_, _, 8>(&prepared_round);
                            }
                            if let ::core::option::Option::Some(prepared_promised) = prepared_promised {
                                object_writer.write::<_, _, 8>(&prepared_promised);
                            }
                            object_writer.write::<_, _, 16>(&prepared_last);
                            if let ::core::option::Option::Some(prepared_granted) = prepared_granted {
                                object_writer.write::<_, _, 1>(&prepared_granted);
                            }
                            if let ::core::option::Option::Some(prepared_member) = prepared_member {
                                object_writer.write::<_, _, 1>(&prepared_member);
                            }
                            if let ::core::option::Option::Some(prepared_witness) = prepared_witness {
                                object_writer.write::<_, _, 1>(&prepared_witness);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<LeaseGrant>> for LeaseGrant {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseGrant> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<LeaseGrant>> for LeaseGrant {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<LeaseGrant>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<LeaseGrant> for LeaseGrant {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseGrant> {
                    LeaseGrant::create(
                        builder,
                        self.epoch,
                        self.round,
                        self.granted,
                        self.promised,
                        self.last,
                        self.member,
                        self.witness,
                    )
                }
            }

            /// Builder for serializing an instance of the [LeaseGrant] type.
            ///
            /// Can be created using the [LeaseGrant::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct LeaseGrantBuilder<State>(State);

            impl LeaseGrantBuilder<()> {
                /// Setter for the [`epoch` field](LeaseGrant#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> LeaseGrantBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    LeaseGrantBuilder((value,))
                }

                /// Sets the [`epoch` field](LeaseGrant#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> LeaseGrantBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> LeaseGrantBuilder<(T0,)> {
                /// Setter for the [`round` field](LeaseGrant#structfield.round).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn round<T1>(self, value: T1) -> LeaseGrantBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    LeaseGrantBuilder((v0, value))
                }

                /// Sets the [`round` field](LeaseGrant#structfield.round) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn round_as_default(self) -> LeaseGrantBuilder<(T0, ::planus::DefaultValue)> {
                    self.round(::planus::DefaultValue)
                }
            }

            impl<T0, T1> LeaseGrantBuilder<(T0, T1)> {
                /// Setter for the [`granted` field](LeaseGrant#structfield.granted).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn granted<T2>(self, value: T2) -> LeaseGrantBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1) = self.0;
                    LeaseGrantBuilder((v0, v1, value))
                }

                /// Sets the [`granted` field](LeaseGrant#structfield.granted) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn granted_as_default(self) -> LeaseGrantBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.granted(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> LeaseGrantBuilder<(T0, T1, T2)> {
                /// Setter for the [`promised` field](LeaseGrant#structfield.promised).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised<T3>(self, value: T3) -> LeaseGrantBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2) = self.0;
                    LeaseGrantBuilder((v0, v1, v2, value))
                }

                /// Sets the [`promised` field](LeaseGrant#structfield.promised) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised_as_default(self) -> LeaseGrantBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.promised(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> LeaseGrantBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`last` field](LeaseGrant#structfield.last).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn last<T4>(self, value: T4) -> LeaseGrantBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<self::Position>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    LeaseGrantBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> LeaseGrantBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`member` field](LeaseGrant#structfield.member).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn member<T5>(self, value: T5) -> LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    LeaseGrantBuilder((v0, v1, v2, v3, v4, value))
                }

                /// Sets the [`member` field](LeaseGrant#structfield.member) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn member_as_default(
                    self,
                ) -> LeaseGrantBuilder<(T0, T1, T2, T3, T4, ::planus::DefaultValue)> {
                    self.member(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5> LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Setter for the [`witness` field](LeaseGrant#structfield.witness).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn witness<T6>(self, value: T6) -> LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5, T6)>
                where
                    T6: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2, v3, v4, v5) = self.0;
                    LeaseGrantBuilder((v0, v1, v2, v3, v4, v5, value))
                }

                /// Sets the [`witness` field](LeaseGrant#structfield.witness) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn witness_as_default(
                    self,
                ) -> LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5, ::planus::DefaultValue)> {
                    self.witness(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6> LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5, T6)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [LeaseGrant].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseGrant>
                where
                    Self: ::planus::WriteAsOffset<LeaseGrant>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAs<self::Position>,
                    T5: ::planus::WriteAsDefault<bool, bool>,
                    T6: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<LeaseGrant>>
                for LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                type Prepared = ::planus::Offset<LeaseGrant>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseGrant> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAs<self::Position>,
                    T5: ::planus::WriteAsDefault<bool, bool>,
                    T6: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<LeaseGrant>>
                for LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                type Prepared = ::planus::Offset<LeaseGrant>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<LeaseGrant>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAs<self::Position>,
                    T5: ::planus::WriteAsDefault<bool, bool>,
                    T6: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<LeaseGrant> for LeaseGrantBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LeaseGrant> {
                    let (v0, v1, v2, v3, v4, v5, v6) = &self.0;
                    LeaseGrant::create(builder, v0, v1, v2, v3, v4, v5, v6)
                }
            }

            /// Reference to a deserialized [LeaseGrant].
            #[derive(Copy, Clone)]
            pub struct LeaseGrantRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> LeaseGrantRef<'a> {
                /// Getter for the [`epoch` field](LeaseGrant#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "LeaseGrant", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`round` field](LeaseGrant#structfield.round).
                #[inline]
                pub fn round(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "LeaseGrant", "round")?.unwrap_or(0))
                }

                /// Getter for the [`granted` field](LeaseGrant#structfield.granted).
                #[inline]
                pub fn granted(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(2, "LeaseGrant", "granted")?.unwrap_or(false))
                }

                /// Getter for the [`promised` field](LeaseGrant#structfield.promised).
                #[inline]
                pub fn promised(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(3, "LeaseGrant", "promised")?.unwrap_or(0))
                }

                /// Getter for the [`last` field](LeaseGrant#structfield.last).
                #[inline]
                pub fn last(&self) -> ::planus::Result<self::PositionRef<'a>> {
                    self.0.access_required(4, "LeaseGrant", "last")
                }

                /// Getter for the [`member` field](LeaseGrant#structfield.member).
                #[inline]
                pub fn member(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(5, "LeaseGrant", "member")?.unwrap_or(false))
                }

                /// Getter for the [`witness` field](LeaseGrant#structfield.witness).
                #[inline]
                pub fn witness(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(6, "LeaseGrant", "witness")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for LeaseGrantRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("LeaseGrantRef");
                    f.field("epoch", &self.epoch());
                    f.field("round", &self.round());
                    f.field("granted", &self.granted());
                    f.field("promised", &self.promised());
                    f.field("last", &self.last());
                    f.field("member", &self.member());
                    f.field("witness", &self.witness());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<LeaseGrantRef<'a>> for LeaseGrant {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: LeaseGrantRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        round: ::core::convert::TryInto::try_into(value.round()?)?,
                        granted: ::core::convert::TryInto::try_into(value.granted()?)?,
                        promised: ::core::convert::TryInto::try_into(value.promised()?)?,
                        last: ::core::convert::Into::into(value.last()?),
                        member: ::core::convert::TryInto::try_into(value.member()?)?,
                        witness: ::core::convert::TryInto::try_into(value.witness()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for LeaseGrantRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for LeaseGrantRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[LeaseGrantRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<LeaseGrant>> for LeaseGrant {
                type Value = ::planus::Offset<LeaseGrant>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<LeaseGrant>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for LeaseGrantRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[LeaseGrantRef]", "read_as_root", 0)
                    })
                }
            }

            ///  Rejects a message for the log: its epoch is older than the promised one, or nothing can be stored now. A node
            ///  that shuts down sends it unasked.
            ///
            /// Generated from these locations:
            /// * Table `Reject` in the file `protocol.fbs:77`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Reject {
                /// The field `epoch` in the table `Reject`
                pub epoch: u64,
                /// The field `promised` in the table `Reject`
                pub promised: u64,
                /// The field `shutting_down` in the table `Reject`
                pub shutting_down: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Reject {
                fn default() -> Self {
                    Self { epoch: 0, promised: 0, shutting_down: false }
                }
            }

            impl Reject {
                /// Creates a [RejectBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> RejectBuilder<()> {
                    RejectBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_epoch: impl ::planus::WriteAsDefault<u64, u64>,
                    field_promised: impl ::planus::WriteAsDefault<u64, u64>,
                    field_shutting_down: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_epoch = field_epoch.prepare(builder, &0);
                    let prepared_promised = field_promised.prepare(builder, &0);
                    let prepared_shutting_down = field_shutting_down.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_epoch.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_promised.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    if prepared_shutting_down.is_some() {
                        table_writer.write_entry::<bool>(2);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_epoch) = prepared_epoch {
                                object_writer.write::<_, _, 8>(&prepared_epoch);
                            }
                            if let ::core::option::Option::Some(prepared_promised) = prepared_promised {
                                object_writer.write::<_, _, 8>(&prepared_promised);
                            }
                            if let ::core::option::Option::Some(prepared_shutting_down) =
                                prepared_shutting_down
                            {
                                object_writer.write::<_, _, 1>(&prepared_shutting_down);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Reject>> for Reject {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Reject> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Reject>> for Reject {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Reject>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Reject> for Reject {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Reject> {
                    Reject::create(builder, self.epoch, self.promised, self.shutting_down)
                }
            }

            /// Builder for serializing an instance of the [Reject] type.
            ///
            /// Can be created using the [Reject::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct RejectBuilder<State>(State);

            impl RejectBuilder<()> {
                /// Setter for the [`epoch` field](Reject#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> RejectBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    RejectBuilder((value,))
                }

                /// Sets the [`epoch` field](Reject#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> RejectBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> RejectBuilder<(T0,)> {
                /// Setter for the [`promised` field](Reject#structfield.promised).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised<T1>(self, value: T1) -> RejectBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    RejectBuilder((v0, value))
                }

                /// Sets the [`promised` field](Reject#structfield.promised) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised_as_default(self) -> RejectBuilder<(T0, ::planus::DefaultValue)> {
                    self.promised(::planus::DefaultValue)
                }
            }

            impl<T0, T1> RejectBuilder<(T0, T1)> {
                /// Setter for the [`shutting_down` field](Reject#structfield.shutting_down).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn shutting_down<T2>(self, value: T2) -> RejectBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1) = self.0;
                    RejectBuilder((v0, v1, value))
                }

                /// Sets the [`shutting_down` field](Reject#structfield.shutting_down) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn shutting_down_as_default(self) -> RejectBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.shutting_down(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> RejectBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Reject].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Reject>
                where
                    Self: ::planus::WriteAsOffset<Reject>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<Reject>> for RejectBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Reject>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Reject> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<Reject>> for RejectBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Reject>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Reject>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<Reject> for RejectBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Reject> {
                    let (v0, v1, v2) = &self.0;
                    Reject::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [Reject].
            #[derive(Copy, Clone)]
            pub struct RejectRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> RejectRef<'a> {
                /// Getter for the [`epoch` field](Reject#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Reject", "epoch")?.unwrap_or(0))
                }

                /// Getter for the [`promised` field](Reject#structfield.promised).
                #[inline]
                pub fn promised(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "Reject", "promised")?.unwrap_or(0))
                }

                /// Getter for the [`shutting_down` field](Reject#structfield.shutting_down).
                #[inline]
                pub fn shutting_down(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(2, "Reject", "shutting_down")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for RejectRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("RejectRef");
                    f.field("epoch", &self.epoch());
                    f.field("promised", &self.promised());
                    f.field("shutting_down", &self.shutting_down());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<RejectRef<'a>> for Reject {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: RejectRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                        promised: ::core::convert::TryInto::try_into(value.promised()?)?,
                        shutting_down: ::core::convert::TryInto::try_into(value.shutting_down()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for RejectRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for RejectRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[RejectRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Reject>> for Reject {
                type Value = ::planus::Offset<Reject>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Reject>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for RejectRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[RejectRef]", "read_as_root", 0))
                }
            }

            ///  A primary or candidate gives up its epoch. What witnesses have granted to it is free again.
            ///
            /// Generated from these locations:
            /// * Table `Resign` in the file `protocol.fbs:79`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Resign {
                /// The field `epoch` in the table `Resign`
                pub epoch: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Resign {
                fn default() -> Self {
                    Self { epoch: 0 }
                }
            }

            impl Resign {
                /// Creates a [ResignBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ResignBuilder<()> {
                    ResignBuilder(())
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

            impl ::planus::WriteAs<::planus::Offset<Resign>> for Resign {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Resign> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Resign>> for Resign {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Resign>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Resign> for Resign {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Resign> {
                    Resign::create(builder, self.epoch)
                }
            }

            /// Builder for serializing an instance of the [Resign] type.
            ///
            /// Can be created using the [Resign::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ResignBuilder<State>(State);

            impl ResignBuilder<()> {
                /// Setter for the [`epoch` field](Resign#structfield.epoch).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch<T0>(self, value: T0) -> ResignBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    ResignBuilder((value,))
                }

                /// Sets the [`epoch` field](Resign#structfield.epoch) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn epoch_as_default(self) -> ResignBuilder<(::planus::DefaultValue,)> {
                    self.epoch(::planus::DefaultValue)
                }
            }

            impl<T0> ResignBuilder<(T0,)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Resign].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Resign>
                where
                    Self: ::planus::WriteAsOffset<Resign>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAsDefault<u64, u64>> ::planus::WriteAs<::planus::Offset<Resign>>
                for ResignBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<Resign>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Resign> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAsDefault<u64, u64>> ::planus::WriteAsOptional<::planus::Offset<Resign>>
                for ResignBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<Resign>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Resign>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAsDefault<u64, u64>> ::planus::WriteAsOffset<Resign> for ResignBuilder<(T0,)> {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Resign> {
                    let (v0,) = &self.0;
                    Resign::create(builder, v0)
                }
            }

            /// Reference to a deserialized [Resign].
            #[derive(Copy, Clone)]
            pub struct ResignRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ResignRef<'a> {
                /// Getter for the [`epoch` field](Resign#structfield.epoch).
                #[inline]
                pub fn epoch(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "Resign", "epoch")?.unwrap_or(0))
                }
            }

            impl<'a> ::core::fmt::Debug for ResignRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ResignRef");
                    f.field("epoch", &self.epoch());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ResignRef<'a>> for Resign {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ResignRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        epoch: ::core::convert::TryInto::try_into(value.epoch()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ResignRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ResignRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ResignRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Resign>> for Resign {
                type Value = ::planus::Offset<Resign>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Resign>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ResignRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[ResignRef]", "read_as_root", 0))
                }
            }

            ///  An item of published state.
            ///
            /// Generated from these locations:
            /// * Table `Item` in the file `protocol.fbs:84`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Item {
                /// The field `key` in the table `Item`
                pub key: ::planus::alloc::string::String,
                /// The field `removed` in the table `Item`
                pub removed: bool,
                /// The field `value` in the table `Item`
                pub value: ::planus::alloc::vec::Vec<u8>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Item {
                fn default() -> Self {
                    Self {
                        key: ::core::default::Default::default(),
                        removed: false,
                        value: ::core::default::Default::default(),
                    }
                }
            }

            impl Item {
                /// Creates a [ItemBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ItemBuilder<()> {
                    ItemBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_key: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_removed: impl ::planus::WriteAsDefault<bool, bool>,
                    field_value: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_key = field_key.prepare(builder);
                    let prepared_removed = field_removed.prepare(builder, &false);
                    let prepared_value = field_value.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    table_writer.write_entry::<::planus::Offset<[u8]>>(2);
                    if prepared_removed.is_some() {
                        table_writer.write_entry::<bool>(1);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_key);
                            object_writer.write::<_, _, 4>(&prepared_value);
                            if let ::core::option::Option::Some(prepared_removed) = prepared_removed {
                                object_writer.write::<_, _, 1>(&prepared_removed);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Item>> for Item {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Item> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Item>> for Item {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Item>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Item> for Item {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Item> {
                    Item::create(builder, &self.key, self.removed, &self.value)
                }
            }

            /// Builder for serializing an instance of the [Item] type.
            ///
            /// Can be created using the [Item::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ItemBuilder<State>(State);

            impl ItemBuilder<()> {
                /// Setter for the [`key` field](Item#structfield.key).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn key<T0>(self, value: T0) -> ItemBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    ItemBuilder((value,))
                }
            }

            impl<T0> ItemBuilder<(T0,)> {
                /// Setter for the [`removed` field](Item#structfield.removed).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn removed<T1>(self, value: T1) -> ItemBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0,) = self.0;
                    ItemBuilder((v0, value))
                }

                /// Sets the [`removed` field](Item#structfield.removed) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn removed_as_default(self) -> ItemBuilder<(T0, ::planus::DefaultValue)> {
                    self.removed(::planus::DefaultValue)
                }
            }

            impl<T0, T1> ItemBuilder<(T0, T1)> {
                /// Setter for the [`value` field](Item#structfield.value).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn value<T2>(self, value: T2) -> ItemBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1) = self.0;
                    ItemBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ItemBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Item].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Item>
                where
                    Self: ::planus::WriteAsOffset<Item>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAs<::planus::Offset<Item>> for ItemBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Item>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Item> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Item>> for ItemBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<Item>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Item>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOffset<Item> for ItemBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Item> {
                    let (v0, v1, v2) = &self.0;
                    Item::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [Item].
            #[derive(Copy, Clone)]
            pub struct ItemRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ItemRef<'a> {
                /// Getter for the [`key` field](Item#structfield.key).
                #[inline]
                pub fn key(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "Item", "key")
                }

                /// Getter for the [`removed` field](Item#structfield.removed).
                #[inline]
                pub fn removed(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(1, "Item", "removed")?.unwrap_or(false))
                }

                /// Getter for the [`value` field](Item#structfield.value).
                #[inline]
                pub fn value(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(2, "Item", "value")
                }
            }

            impl<'a> ::core::fmt::Debug for ItemRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ItemRef");
                    f.field("key", &self.key());
                    f.field("removed", &self.removed());
                    f.field("value", &self.value());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ItemRef<'a>> for Item {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ItemRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        key: ::core::convert::Into::into(value.key()?),
                        removed: ::core::convert::TryInto::try_into(value.removed()?)?,
                        value: value.value()?.to_vec(),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ItemRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ItemRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ItemRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Item>> for Item {
                type Value = ::planus::Offset<Item>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Item>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ItemRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[ItemRef]", "read_as_root", 0))
                }
            }

            ///  A child asks its parent for updates: its revision, and a digest for each range of key hashes.
            ///
            /// Generated from these locations:
            /// * Table `Subscribe` in the file `protocol.fbs:87`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Subscribe {
                /// The field `revision` in the table `Subscribe`
                pub revision: self::Revision,
                /// The field `digests` in the table `Subscribe`
                pub digests: ::planus::alloc::vec::Vec<u64>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Subscribe {
                fn default() -> Self {
                    Self {
                        revision: ::core::default::Default::default(),
                        digests: ::core::default::Default::default(),
                    }
                }
            }

            impl Subscribe {
                /// Creates a [SubscribeBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> SubscribeBuilder<()> {
                    SubscribeBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_revision: impl ::planus::WriteAs<self::Revision>,
                    field_digests: impl ::planus::WriteAs<::planus::Offset<[u64]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_revision = field_revision.prepare(builder);
                    let prepared_digests = field_digests.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<self::Revision>(0);
                    table_writer.write_entry::<::planus::Offset<[u64]>>(1);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 16>(&prepared_revision);
                            object_writer.write::<_, _, 4>(&prepared_digests);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Subscribe>> for Subscribe {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Subscribe> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Subscribe>> for Subscribe {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Subscribe>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Subscribe> for Subscribe {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Subscribe> {
                    Subscribe::create(builder, self.revision, &self.digests)
                }
            }

            /// Builder for serializing an instance of the [Subscribe] type.
            ///
            /// Can be created using the [Subscribe::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct SubscribeBuilder<State>(State);

            impl SubscribeBuilder<()> {
                /// Setter for the [`revision` field](Subscribe#structfield.revision).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn revision<T0>(self, value: T0) -> SubscribeBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<self::Revision>,
                {
                    SubscribeBuilder((value,))
                }
            }

            impl<T0> SubscribeBuilder<(T0,)> {
                /// Setter for the [`digests` field](Subscribe#structfield.digests).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn digests<T1>(self, value: T1) -> SubscribeBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<::planus::Offset<[u64]>>,
                {
                    let (v0,) = self.0;
                    SubscribeBuilder((v0, value))
                }
            }

            impl<T0, T1> SubscribeBuilder<(T0, T1)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Subscribe].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Subscribe>
                where
                    Self: ::planus::WriteAsOffset<Subscribe>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<self::Revision>, T1: ::planus::WriteAs<::planus::Offset<[u64]>>>
                ::planus::WriteAs<::planus::Offset<Subscribe>> for SubscribeBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Subscribe>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Subscribe> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<self::Revision>, T1: ::planus::WriteAs<::planus::Offset<[u64]>>>
                ::planus::WriteAsOptional<::planus::Offset<Subscribe>> for SubscribeBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Subscribe>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Subscribe>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAs<self::Revision>, T1: ::planus::WriteAs<::planus::Offset<[u64]>>>
                ::planus::WriteAsOffset<Subscribe> for SubscribeBuilder<(T0, T1)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Subscribe> {
                    let (v0, v1) = &self.0;
                    Subscribe::create(builder, v0, v1)
                }
            }

            /// Reference to a deserialized [Subscribe].
            #[derive(Copy, Clone)]
            pub struct SubscribeRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> SubscribeRef<'a> {
                /// Getter for the [`revision` field](Subscribe#structfield.revision).
                #[inline]
                pub fn revision(&self) -> ::planus::Result<self::RevisionRef<'a>> {
                    self.0.access_required(0, "Subscribe", "revision")
                }

                /// Getter for the [`digests` field](Subscribe#structfield.digests).
                #[inline]
                pub fn digests(&self) -> ::planus::Result<::planus::Vector<'a, u64>> {
                    self.0.access_required(1, "Subscribe", "digests")
                }
            }

            impl<'a> ::core::fmt::Debug for SubscribeRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("SubscribeRef");
                    f.field("revision", &self.revision());
                    f.field("digests", &self.digests());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<SubscribeRef<'a>> for Subscribe {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: SubscribeRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        revision: ::core::convert::Into::into(value.revision()?),
                        digests: value.digests()?.to_vec()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for SubscribeRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for SubscribeRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[SubscribeRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Subscribe>> for Subscribe {
                type Value = ::planus::Offset<Subscribe>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Subscribe>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for SubscribeRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[SubscribeRef]", "read_as_root", 0))
                }
            }

            ///  What an update contains.
            ///
            /// Generated from these locations:
            /// * Enum `UpdateKind` in the file `protocol.fbs:90`
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
            pub enum UpdateKind {
                ///  Every key that was touched between the two revisions. Fits any state between them.
                Changes = 0,

                ///  The keys that differ between exactly the two revisions. Fits the state of `base` only.
                Delta = 1,

                ///  The answer to a subscription: all items of the ranges that differ. `base` is the revision of the subscriber.
                RangeRepair = 2,
            }

            impl UpdateKind {
                /// Array containing all valid variants of UpdateKind
                pub const ENUM_VALUES: [Self; 3] = [Self::Changes, Self::Delta, Self::RangeRepair];
            }

            impl ::core::convert::TryFrom<u8> for UpdateKind {
                type Error = ::planus::errors::UnknownEnumTagKind;
                #[inline]
                fn try_from(value: u8) -> ::core::result::Result<Self, ::planus::errors::UnknownEnumTagKind> {
                    #[allow(clippy::match_single_binding)]
                    match value {
                        0 => ::core::result::Result::Ok(UpdateKind::Changes),
                        1 => ::core::result::Result::Ok(UpdateKind::Delta),
                        2 => ::core::result::Result::Ok(UpdateKind::RangeRepair),

                        _ => ::core::result::Result::Err(::planus::errors::UnknownEnumTagKind {
                            tag: value as i128,
                        }),
                    }
                }
            }

            impl ::core::convert::From<UpdateKind> for u8 {
                #[inline]
                fn from(value: UpdateKind) -> Self {
                    value as u8
                }
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for UpdateKind {
                const ALIGNMENT: usize = 1;
                const SIZE: usize = 1;
            }

            impl ::planus::WriteAsPrimitive<UpdateKind> for UpdateKind {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    (*self as u8).write(cursor, buffer_position);
                }
            }

            impl ::planus::WriteAs<UpdateKind> for UpdateKind {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> UpdateKind {
                    *self
                }
            }

            impl ::planus::WriteAsDefault<UpdateKind, UpdateKind> for UpdateKind {
                type Prepared = Self;

                #[inline]
                fn prepare(
                    &self,
                    _builder: &mut ::planus::Builder,
                    default: &UpdateKind,
                ) -> ::core::option::Option<UpdateKind> {
                    if self == default {
                        ::core::option::Option::None
                    } else {
                        ::core::option::Option::Some(*self)
                    }
                }
            }

            impl ::planus::WriteAsOptional<UpdateKind> for UpdateKind {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<UpdateKind> {
                    ::core::option::Option::Some(*self)
                }
            }

            impl<'buf> ::planus::TableRead<'buf> for UpdateKind {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'buf>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let n: u8 = ::planus::TableRead::from_buffer(buffer, offset)?;
                    ::core::result::Result::Ok(::core::convert::TryInto::try_into(n)?)
                }
            }

            impl<'buf> ::planus::VectorReadInner<'buf> for UpdateKind {
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
                            "UpdateKind",
                            "VectorRead::from_buffer",
                            buffer.offset_from_start,
                        )
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<UpdateKind> for UpdateKind {
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

            ///  Brings a child from the revision `base` to `revision`, atomically. Without items it is a heartbeat. For each range
            ///  listed in `complete`, the items are all that there are. `digest` is the sum of the ranges' digests at `revision`.
            ///
            /// Generated from these locations:
            /// * Table `Update` in the file `protocol.fbs:101`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Update {
                /// The field `kind` in the table `Update`
                pub kind: self::UpdateKind,
                /// The field `base` in the table `Update`
                pub base: self::Revision,
                /// The field `revision` in the table `Update`
                pub revision: self::Revision,
                /// The field `digest` in the table `Update`
                pub digest: u64,
                /// The field `complete` in the table `Update`
                pub complete: ::planus::alloc::vec::Vec<u8>,
                /// The field `items` in the table `Update`
                pub items: ::planus::alloc::vec::Vec<self::Item>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Update {
                fn default() -> Self {
                    Self {
                        kind: self::UpdateKind::Changes,
                        base: ::core::default::Default::default(),
                        revision: ::core::default::Default::default(),
                        digest: 0,
                        complete: ::core::default::Default::default(),
                        items: ::core::default::Default::default(),
                    }
                }
            }

            impl Update {
                /// Creates a [UpdateBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> UpdateBuilder<()> {
                    UpdateBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_kind: impl ::planus::WriteAsDefault<self::UpdateKind, self::UpdateKind>,
                    field_base: impl ::planus::WriteAs<self::Revision>,
                    field_revision: impl ::planus::WriteAs<self::Revision>,
                    field_digest: impl ::planus::WriteAsDefault<u64, u64>,
                    field_complete: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                    field_items: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Item>]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_kind = field_kind.prepare(builder, &self::UpdateKind::Changes);
                    let prepared_base = field_base.prepare(builder);
                    let prepared_revision = field_revision.prepare(builder);
                    let prepared_digest = field_digest.prepare(builder, &0);
                    let prepared_complete = field_complete.prepare(builder);
                    let prepared_items = field_items.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<16> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<self::Revision>(1);
                    table_writer.write_entry::<self::Revision>(2);
                    if prepared_digest.is_some() {
                        table_writer.write_entry::<u64>(3);
                    }
                    table_writer.write_entry::<::planus::Offset<[u8]>>(4);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::Item>]>>(5);
                    if prepared_kind.is_some() {
                        table_writer.write_entry::<self::UpdateKind>(0);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 16>(&prepared_base);
                            object_writer.write::<_, _, 16>(&prepared_revision);
                            if let ::core::option::Option::Some(prepared_digest) = prepared_digest {
                                object_writer.write::<_, _, 8>(&prepared_digest);
                            }
                            object_writer.write::<_, _, 4>(&prepared_complete);
                            object_writer.write::<_, _, 4>(&prepared_items);
                            if let ::core::option::Option::Some(prepared_kind) = prepared_kind {
                                object_writer.write::<_, _, 1>(&prepared_kind);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Update>> for Update {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Update> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Update>> for Update {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Update>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Update> for Update {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Update> {
                    Update::create(
                        builder,
                        self.kind,
                        self.base,
                        self.revision,
                        self.digest,
                        &self.complete,
                        &self.items,
                    )
                }
            }

            /// Builder for serializing an instance of the [Update] type.
            ///
            /// Can be created using the [Update::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct UpdateBuilder<State>(State);

            impl UpdateBuilder<()> {
                /// Setter for the [`kind` field](Update#structfield.kind).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn kind<T0>(self, value: T0) -> UpdateBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<self::UpdateKind, self::UpdateKind>,
                {
                    UpdateBuilder((value,))
                }

                /// Sets the [`kind` field](Update#structfield.kind) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn kind_as_default(self) -> UpdateBuilder<(::planus::DefaultValue,)> {
                    self.kind(::planus::DefaultValue)
                }
            }

            impl<T0> UpdateBuilder<(T0,)> {
                /// Setter for the [`base` field](Update#structfield.base).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn base<T1>(self, value: T1) -> UpdateBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<self::Revision>,
                {
                    let (v0,) = self.0;
                    UpdateBuilder((v0, value))
                }
            }

            impl<T0, T1> UpdateBuilder<(T0, T1)> {
                /// Setter for the [`revision` field](Update#structfield.revision).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn revision<T2>(self, value: T2) -> UpdateBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<self::Revision>,
                {
                    let (v0, v1) = self.0;
                    UpdateBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> UpdateBuilder<(T0, T1, T2)> {
                /// Setter for the [`digest` field](Update#structfield.digest).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn digest<T3>(self, value: T3) -> UpdateBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2) = self.0;
                    UpdateBuilder((v0, v1, v2, value))
                }

                /// Sets the [`digest` field](Update#structfield.digest) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn digest_as_default(self) -> UpdateBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.digest(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> UpdateBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`complete` field](Update#structfield.complete).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn complete<T4>(self, value: T4) -> UpdateBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    UpdateBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> UpdateBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`items` field](Update#structfield.items).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn items<T5>(self, value: T5) -> UpdateBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Item>]>>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    UpdateBuilder((v0, v1, v2, v3, v4, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5> UpdateBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Update].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Update>
                where
                    Self: ::planus::WriteAsOffset<Update>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<self::UpdateKind, self::UpdateKind>,
                    T1: ::planus::WriteAs<self::Revision>,
                    T2: ::planus::WriteAs<self::Revision>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Item>]>>,
                > ::planus::WriteAs<::planus::Offset<Update>> for UpdateBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                type Prepared = ::planus::Offset<Update>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Update> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<self::UpdateKind, self::UpdateKind>,
                    T1: ::planus::WriteAs<self::Revision>,
                    T2: ::planus::WriteAs<self::Revision>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Item>]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Update>>
                for UpdateBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                type Prepared = ::planus::Offset<Update>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Update>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<self::UpdateKind, self::UpdateKind>,
                    T1: ::planus::WriteAs<self::Revision>,
                    T2: ::planus::WriteAs<self::Revision>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Item>]>>,
                > ::planus::WriteAsOffset<Update> for UpdateBuilder<(T0, T1, T2, T3, T4, T5)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Update> {
                    let (v0, v1, v2, v3, v4, v5) = &self.0;
                    Update::create(builder, v0, v1, v2, v3, v4, v5)
                }
            }

            /// Reference to a deserialized [Update].
            #[derive(Copy, Clone)]
            pub struct UpdateRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> UpdateRef<'a> {
                /// Getter for the [`kind` field](Update#structfield.kind).
                #[inline]
                pub fn kind(&self) -> ::planus::Result<self::UpdateKind> {
                    ::core::result::Result::Ok(
                        self.0.access(0, "Update", "kind")?.unwrap_or(self::UpdateKind::Changes),
                    )
                }

                /// Getter for the [`base` field](Update#structfield.base).
                #[inline]
                pub fn base(&self) -> ::planus::Result<self::RevisionRef<'a>> {
                    self.0.access_required(1, "Update", "base")
                }

                /// Getter for the [`revision` field](Update#structfield.revision).
                #[inline]
                pub fn revision(&self) -> ::planus::Result<self::RevisionRef<'a>> {
                    self.0.access_required(2, "Update", "revision")
                }

                /// Getter for the [`digest` field](Update#structfield.digest).
                #[inline]
                pub fn digest(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(3, "Update", "digest")?.unwrap_or(0))
                }

                /// Getter for the [`complete` field](Update#structfield.complete).
                #[inline]
                pub fn complete(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(4, "Update", "complete")
                }

                /// Getter for the [`items` field](Update#structfield.items).
                #[inline]
                pub fn items(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::ItemRef<'a>>>>
                {
                    self.0.access_required(5, "Update", "items")
                }
            }

            impl<'a> ::core::fmt::Debug for UpdateRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("UpdateRef");
                    f.field("kind", &self.kind());
                    f.field("base", &self.base());
                    f.field("revision", &self.revision());
                    f.field("digest", &self.digest());
                    f.field("complete", &self.complete());
                    f.field("items", &self.items());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<UpdateRef<'a>> for Update {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: UpdateRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        kind: ::core::convert::TryInto::try_into(value.kind()?)?,
                        base: ::core::convert::Into::into(value.base()?),
                        revision: ::core::convert::Into::into(value.revision()?),
                        digest: ::core::convert::TryInto::try_into(value.digest()?)?,
                        complete: value.complete()?.to_vec(),
                        items: value.items()?.to_vec_result()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for UpdateRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for UpdateRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[UpdateRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Update>> for Update {
                type Value = ::planus::Offset<Update>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Update>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for UpdateRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[UpdateRef]", "read_as_root", 0))
                }
            }

            /// The enum `EndpointState` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Enum `EndpointState` in the file `protocol.fbs:110`
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
            pub enum EndpointState {
                /// The variant `Starting` in the enum `EndpointState`
                Starting = 0,

                /// The variant `Ready` in the enum `EndpointState`
                Ready = 1,

                /// The variant `Draining` in the enum `EndpointState`
                Draining = 2,
            }

            impl EndpointState {
                /// Array containing all valid variants of EndpointState
                pub const ENUM_VALUES: [Self; 3] = [Self::Starting, Self::Ready, Self::Draining];
            }

            impl ::core::convert::TryFrom<u8> for EndpointState {
                type Error = ::planus::errors::UnknownEnumTagKind;
                #[inline]
                fn try_from(value: u8) -> ::core::result::Result<Self, ::planus::errors::UnknownEnumTagKind> {
                    #[allow(clippy::match_single_binding)]
                    match value {
                        0 => ::core::result::Result::Ok(EndpointState::Starting),
                        1 => ::core::result::Result::Ok(EndpointState::Ready),
                        2 => ::core::result::Result::Ok(EndpointState::Draining),

                        _ => ::core::result::Result::Err(::planus::errors::UnknownEnumTagKind {
                            tag: value as i128,
                        }),
                    }
                }
            }

            impl ::core::convert::From<EndpointState> for u8 {
                #[inline]
                fn from(value: EndpointState) -> Self {
                    value as u8
                }
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for EndpointState {
                const ALIGNMENT: usize = 1;
                const SIZE: usize = 1;
            }

            impl ::planus::WriteAsPrimitive<EndpointState> for EndpointState {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    (*self as u8).write(cursor, buffer_position);
                }
            }

            impl ::planus::WriteAs<EndpointState> for EndpointState {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> EndpointState {
                    *self
                }
            }

            impl ::planus::WriteAsDefault<EndpointState, EndpointState> for EndpointState {
                type Prepared = Self;

                #[inline]
                fn prepare(
                    &self,
                    _builder: &mut ::planus::Builder,
                    default: &EndpointState,
                ) -> ::core::option::Option<EndpointState> {
                    if self == default {
                        ::core::option::Option::None
                    } else {
                        ::core::option::Option::Some(*self)
                    }
                }
            }

            impl ::planus::WriteAsOptional<EndpointState> for EndpointState {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<EndpointState> {
                    ::core::option::Option::Some(*self)
                }
            }

            impl<'buf> ::planus::TableRead<'buf> for EndpointState {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'buf>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let n: u8 = ::planus::TableRead::from_buffer(buffer, offset)?;
                    ::core::result::Result::Ok(::core::convert::TryInto::try_into(n)?)
                }
            }

            impl<'buf> ::planus::VectorReadInner<'buf> for EndpointState {
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
                            "EndpointState",
                            "VectorRead::from_buffer",
                            buffer.offset_from_start,
                        )
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<EndpointState> for EndpointState {
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

            ///  The address at which a proxy serves clients. `preferred_regions`: where its clients would be served better.
            ///
            /// Generated from these locations:
            /// * Table `ProxyEndpoint` in the file `protocol.fbs:113`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ProxyEndpoint {
                /// The field `name` in the table `ProxyEndpoint`
                pub name: ::planus::alloc::string::String,
                /// The field `ip` in the table `ProxyEndpoint`
                pub ip: u32,
                /// The field `zone` in the table `ProxyEndpoint`
                pub zone: ::planus::alloc::string::String,
                /// The field `region` in the table `ProxyEndpoint`
                pub region: ::planus::alloc::string::String,
                /// The field `address` in the table `ProxyEndpoint`
                pub address: ::planus::alloc::string::String,
                /// The field `state` in the table `ProxyEndpoint`
                pub state: self::EndpointState,
                /// The field `incarnation` in the table `ProxyEndpoint`
                pub incarnation: u64,
                /// The field `preferred_regions` in the table `ProxyEndpoint`
                pub preferred_regions: ::planus::alloc::vec::Vec<::planus::alloc::string::String>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ProxyEndpoint {
                fn default() -> Self {
                    Self {
                        name: ::core::default::Default::default(),
                        ip: 0,
                        zone: ::core::default::Default::default(),
                        region: ::core::default::Default::default(),
                        address: ::core::default::Default::default(),
                        state: self::EndpointState::Starting,
                        incarnation: 0,
                        preferred_regions: ::core::default::Default::default(),
                    }
                }
            }

            impl ProxyEndpoint {
                /// Creates a [ProxyEndpointBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ProxyEndpointBuilder<()> {
                    ProxyEndpointBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_name: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_ip: impl ::planus::WriteAsDefault<u32, u32>,
                    field_zone: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_region: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_address: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_state: impl ::planus::WriteAsDefault<self::EndpointState, self::EndpointState>,
                    field_incarnation: impl ::planus::WriteAsDefault<u64, u64>,
                    field_preferred_regions: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_name = field_name.prepare(builder);
                    let prepared_ip = field_ip.prepare(builder, &0);
                    let prepared_zone = field_zone.prepare(builder);
                    let prepared_region = field_region.prepare(builder);
                    let prepared_address = field_address.prepare(builder);
                    let prepared_state = field_state.prepare(builder, &self::EndpointState::Starting);
                    let prepared_incarnation = field_incarnation.prepare(builder, &0);
                    let prepared_preferred_regions = field_preferred_regions.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<20> =
                        ::core::default::Default::default();
                    if prepared_incarnation.is_some() {
                        table_writer.write_entry::<u64>(6);
                    }
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    if prepared_ip.is_some() {
                        table_writer.write_entry::<u32>(1);
                    }
                    table_writer.write_entry::<::planus::Offset<str>>(2);
                    table_writer.write_entry::<::planus::Offset<str>>(3);
                    table_writer.write_entry::<::planus::Offset<str>>(4);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<str>]>>(7);
                    if prepared_state.is_some() {
                        table_writer.write_entry::<self::EndpointState>(5);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_incarnation) = prepared_incarnation {
                                object_writer.write::<_, _, 8>(&prepared_incarnation);
                            }
                            object_writer.write::<_, _, 4>(&prepared_name);
                            if let ::core::option::Option::Some(prepared_ip) = prepared_ip {
                                object_writer.write::<_, _, 4>(&prepared_ip);
                            }
                            object_writer.write::<_, _, 4>(&prepared_zone);
                            object_writer.write::<_, _, 4>(&prepared_region);
                            object_writer.write::<_, _, 4>(&prepared_address);
                            object_writer.write::<_, _, 4>(&prepared_preferred_regions);
                            if let ::core::option::Option::Some(prepared_state) = prepared_state {
                                object_writer.write::<_, _, 1>(&prepared_state);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ProxyEndpoint>> for ProxyEndpoint {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ProxyEndpoint> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ProxyEndpoint>> for ProxyEndpoint {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ProxyEndpoint>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ProxyEndpoint> for ProxyEndpoint {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ProxyEndpoint> {
                    ProxyEndpoint::create(
                        builder,
                        &self.name,
                        self.ip,
                        &self.zone,
                        &self.region,
                        &self.address,
                        self.state,
                        self.incarnation,
                        &self.preferred_regions,
                    )
                }
            }

            /// Builder for serializing an instance of the [ProxyEndpoint] type.
            ///
            /// Can be created using the [ProxyEndpoint::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ProxyEndpointBuilder<State>(State);

            impl ProxyEndpointBuilder<()> {
                /// Setter for the [`name` field](ProxyEndpoint#structfield.name).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn name<T0>(self, value: T0) -> ProxyEndpointBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    ProxyEndpointBuilder((value,))
                }
            }

            impl<T0> ProxyEndpointBuilder<(T0,)> {
                /// Setter for the [`ip` field](ProxyEndpoint#structfield.ip).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn ip<T1>(self, value: T1) -> ProxyEndpointBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0,) = self.0;
                    ProxyEndpointBuilder((v0, value))
                }

                /// Sets the [`ip` field](ProxyEndpoint#structfield.ip) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn ip_as_default(self) -> ProxyEndpointBuilder<(T0, ::planus::DefaultValue)> {
                    self.ip(::planus::DefaultValue)
                }
            }

            impl<T0, T1> ProxyEndpointBuilder<(T0, T1)> {
                /// Setter for the [`zone` field](ProxyEndpoint#structfield.zone).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zone<T2>(self, value: T2) -> ProxyEndpointBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1) = self.0;
                    ProxyEndpointBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ProxyEndpointBuilder<(T0, T1, T2)> {
                /// Setter for the [`region` field](ProxyEndpoint#structfield.region).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn region<T3>(self, value: T3) -> ProxyEndpointBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1, v2) = self.0;
                    ProxyEndpointBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ProxyEndpointBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`address` field](ProxyEndpoint#structfield.address).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn address<T4>(self, value: T4) -> ProxyEndpointBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    ProxyEndpointBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> ProxyEndpointBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`state` field](ProxyEndpoint#structfield.state).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn state<T5>(self, value: T5) -> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAsDefault<self::EndpointState, self::EndpointState>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    ProxyEndpointBuilder((v0, v1, v2, v3, v4, value))
                }

                /// Sets the [`state` field](ProxyEndpoint#structfield.state) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn state_as_default(
                    self,
                ) -> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, ::planus::DefaultValue)> {
                    self.state(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Setter for the [`incarnation` field](ProxyEndpoint#structfield.incarnation).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn incarnation<T6>(self, value: T6) -> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6)>
                where
                    T6: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2, v3, v4, v5) = self.0;
                    ProxyEndpointBuilder((v0, v1, v2, v3, v4, v5, value))
                }

                /// Sets the [`incarnation` field](ProxyEndpoint#structfield.incarnation) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn incarnation_as_default(
                    self,
                ) -> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, ::planus::DefaultValue)> {
                    self.incarnation(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6)> {
                /// Setter for the [`preferred_regions` field](ProxyEndpoint#structfield.preferred_regions).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn preferred_regions<T7>(
                    self,
                    value: T7,
                ) -> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
                where
                    T7: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                {
                    let (v0, v1, v2, v3, v4, v5, v6) = self.0;
                    ProxyEndpointBuilder((v0, v1, v2, v3, v4, v5, v6, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6, T7> ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ProxyEndpoint].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ProxyEndpoint>
                where
                    Self: ::planus::WriteAsOffset<ProxyEndpoint>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                    T5: ::planus::WriteAsDefault<self::EndpointState, self::EndpointState>,
                    T6: ::planus::WriteAsDefault<u64, u64>,
                    T7: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                > ::planus::WriteAs<::planus::Offset<ProxyEndpoint>>
                for ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
            {
                type Prepared = ::planus::Offset<ProxyEndpoint>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ProxyEndpoint> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                    T5: ::planus::WriteAsDefault<self::EndpointState, self::EndpointState>,
                    T6: ::planus::WriteAsDefault<u64, u64>,
                    T7: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                > ::planus::WriteAsOptional<::planus::Offset<ProxyEndpoint>>
                for ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
            {
                type Prepared = ::planus::Offset<ProxyEndpoint>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ProxyEndpoint>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAs<::planus::Offset<str>>,
                    T5: ::planus::WriteAsDefault<self::EndpointState, self::EndpointState>,
                    T6: ::planus::WriteAsDefault<u64, u64>,
                    T7: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                > ::planus::WriteAsOffset<ProxyEndpoint>
                for ProxyEndpointBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ProxyEndpoint> {
                    let (v0, v1, v2, v3, v4, v5, v6, v7) = &self.0;
                    ProxyEndpoint::create(builder, v0, v1, v2, v3, v4, v5, v6, v7)
                }
            }

            /// Reference to a deserialized [ProxyEndpoint].
            #[derive(Copy, Clone)]
            pub struct ProxyEndpointRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ProxyEndpointRef<'a> {
                /// Getter for the [`name` field](ProxyEndpoint#structfield.name).
                #[inline]
                pub fn name(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "ProxyEndpoint", "name")
                }

                /// Getter for the [`ip` field](ProxyEndpoint#structfield.ip).
                #[inline]
                pub fn ip(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(1, "ProxyEndpoint", "ip")?.unwrap_or(0))
                }

                /// Getter for the [`zone` field](ProxyEndpoint#structfield.zone).
                #[inline]
                pub fn zone(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(2, "ProxyEndpoint", "zone")
                }

                /// Getter for the [`region` field](ProxyEndpoint#structfield.region).
                #[inline]
                pub fn region(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(3, "ProxyEndpoint", "region")
                }

                /// Getter for the [`address` field](ProxyEndpoint#structfield.address).
                #[inline]
                pub fn address(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(4, "ProxyEndpoint", "address")
                }

                /// Getter for the [`state` field](ProxyEndpoint#structfield.state).
                #[inline]
                pub fn state(&self) -> ::planus::Result<self::EndpointState> {
                    ::core::result::Result::Ok(
                        self.0.access(5, "ProxyEndpoint", "state")?.unwrap_or(self::EndpointState::Starting),
                    )
                }

                /// Getter for the [`incarnation` field](ProxyEndpoint#structfield.incarnation).
                #[inline]
                pub fn incarnation(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(6, "ProxyEndpoint", "incarnation")?.unwrap_or(0))
                }

                /// Getter for the [`preferred_regions` field](ProxyEndpoint#structfield.preferred_regions).
                #[inline]
                pub fn preferred_regions(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<&'a ::core::primitive::str>>>
                {
                    self.0.access_required(7, "ProxyEndpoint", "preferred_regions")
                }
            }

            impl<'a> ::core::fmt::Debug for ProxyEndpointRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ProxyEndpointRef");
                    f.field("name", &self.name());
                    f.field("ip", &self.ip());
                    f.field("zone", &self.zone());
                    f.field("region", &self.region());
                    f.field("address", &self.address());
                    f.field("state", &self.state());
                    f.field("incarnation", &self.incarnation());
                    f.field("preferred_regions", &self.preferred_regions());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ProxyEndpointRef<'a>> for ProxyEndpoint {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ProxyEndpointRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        name: ::core::convert::Into::into(value.name()?),
                        ip: ::core::convert::TryInto::try_into(value.ip()?)?,
                        zone: ::core::convert::Into::into(value.zone()?),
                        region: ::core::convert::Into::into(value.region()?),
                        address: ::core::convert::Into::into(value.address()?),
                        state: ::core::convert::TryInto::try_into(value.state()?)?,
                        incarnation: ::core::convert::TryInto::try_into(value.incarnation()?)?,
                        preferred_regions: value.preferred_regions()?.to_vec_result()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ProxyEndpointRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ProxyEndpointRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ProxyEndpointRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ProxyEndpoint>> for ProxyEndpoint {
                type Value = ::planus::Offset<ProxyEndpoint>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ProxyEndpoint>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ProxyEndpointRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ProxyEndpointRef]", "read_as_root", 0)
                    })
                }
            }

            ///  What a subtree counted for a service in the latest window of the retry budget.
            ///
            /// Generated from these locations:
            /// * Table `ServiceCounters` in the file `protocol.fbs:116`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ServiceCounters {
                /// The field `service` in the table `ServiceCounters`
                pub service: ::planus::alloc::string::String,
                /// The field `requests` in the table `ServiceCounters`
                pub requests: u32,
