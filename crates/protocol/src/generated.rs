                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<bool, bool>>
                ::planus::WriteAsOptional<::planus::Offset<Evacuation>> for EvacuationBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Evacuation>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Evacuation>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<bool, bool>>
                ::planus::WriteAsOffset<Evacuation> for EvacuationBuilder<(T0, T1)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Evacuation> {
                    let (v0, v1) = &self.0;
                    Evacuation::create(builder, v0, v1)
                }
            }

            /// Reference to a deserialized [Evacuation].
            #[derive(Copy, Clone)]
            pub struct EvacuationRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> EvacuationRef<'a> {
                /// Getter for the [`zone` field](Evacuation#structfield.zone).
                #[inline]
                pub fn zone(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "Evacuation", "zone")
                }

                /// Getter for the [`active` field](Evacuation#structfield.active).
                #[inline]
                pub fn active(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(1, "Evacuation", "active")?.unwrap_or(false))
                }
            }

            impl<'a> ::core::fmt::Debug for EvacuationRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("EvacuationRef");
                    f.field("zone", &self.zone());
                    f.field("active", &self.active());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<EvacuationRef<'a>> for Evacuation {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: EvacuationRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        zone: ::core::convert::Into::into(value.zone()?),
                        active: ::core::convert::TryInto::try_into(value.active()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for EvacuationRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for EvacuationRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[EvacuationRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Evacuation>> for Evacuation {
                type Value = ::planus::Offset<Evacuation>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Evacuation>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for EvacuationRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[EvacuationRef]", "read_as_root", 0)
                    })
                }
            }

            /// The union `LogCommandBody` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Union `LogCommandBody` in the file `protocol.fbs:184`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub enum LogCommandBody {
                /// The variant of type `ReplaceConfig` in the union `LogCommandBody`
                ReplaceConfig(::planus::alloc::boxed::Box<self::ReplaceConfig>),

                /// The variant of type `Evacuation` in the union `LogCommandBody`
                Evacuation(::planus::alloc::boxed::Box<self::Evacuation>),
            }

            impl LogCommandBody {
                /// Creates a [LogCommandBodyBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> LogCommandBodyBuilder<::planus::Uninitialized> {
                    LogCommandBodyBuilder(::planus::Uninitialized)
                }

                #[inline]
                pub fn create_replace_config(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::ReplaceConfig>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(1, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_evacuation(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Evacuation>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(2, value.prepare(builder).downcast())
                }
            }

            impl ::planus::WriteAsUnion<LogCommandBody> for LogCommandBody {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Self> {
                    match self {
                        Self::ReplaceConfig(value) => Self::create_replace_config(builder, value),
                        Self::Evacuation(value) => Self::create_evacuation(builder, value),
                    }
                }
            }

            impl ::planus::WriteAsOptionalUnion<LogCommandBody> for LogCommandBody {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Self>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }

            /// Builder for serializing an instance of the [LogCommandBody] type.
            ///
            /// Can be created using the [LogCommandBody::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct LogCommandBodyBuilder<T>(T);

            impl LogCommandBodyBuilder<::planus::Uninitialized> {
                /// Creates an instance of the [`ReplaceConfig` variant](LogCommandBody#variant.ReplaceConfig).
                #[inline]
                pub fn replace_config<T>(self, value: T) -> LogCommandBodyBuilder<::planus::Initialized<1, T>>
                where
                    T: ::planus::WriteAsOffset<self::ReplaceConfig>,
                {
                    LogCommandBodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Evacuation` variant](LogCommandBody#variant.Evacuation).
                #[inline]
                pub fn evacuation<T>(self, value: T) -> LogCommandBodyBuilder<::planus::Initialized<2, T>>
                where
                    T: ::planus::WriteAsOffset<self::Evacuation>,
                {
                    LogCommandBodyBuilder(::planus::Initialized(value))
                }
            }

            impl<const N: u8, T> LogCommandBodyBuilder<::planus::Initialized<N, T>> {
                /// Finish writing the builder to get an [UnionOffset](::planus::UnionOffset) to a serialized [LogCommandBody].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<LogCommandBody>
                where
                    Self: ::planus::WriteAsUnion<LogCommandBody>,
                {
                    ::planus::WriteAsUnion::prepare(&self, builder)
                }
            }

            impl<T> ::planus::WriteAsUnion<LogCommandBody> for LogCommandBodyBuilder<::planus::Initialized<1, T>>
            where
                T: ::planus::WriteAsOffset<self::ReplaceConfig>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<LogCommandBody> {
                    ::planus::UnionOffset::new(1, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<LogCommandBody> for LogCommandBodyBuilder<::planus::Initialized<1, T>>
            where
                T: ::planus::WriteAsOffset<self::ReplaceConfig>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<LogCommandBody>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<LogCommandBody> for LogCommandBodyBuilder<::planus::Initialized<2, T>>
            where
                T: ::planus::WriteAsOffset<self::Evacuation>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<LogCommandBody> {
                    ::planus::UnionOffset::new(2, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<LogCommandBody> for LogCommandBodyBuilder<::planus::Initialized<2, T>>
            where
                T: ::planus::WriteAsOffset<self::Evacuation>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<LogCommandBody>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }

            /// Reference to a deserialized [LogCommandBody].
            #[derive(Copy, Clone, Debug)]
            pub enum LogCommandBodyRef<'a> {
                ReplaceConfig(self::ReplaceConfigRef<'a>),
                Evacuation(self::EvacuationRef<'a>),
            }

            impl<'a> ::core::convert::TryFrom<LogCommandBodyRef<'a>> for LogCommandBody {
                type Error = ::planus::Error;

                fn try_from(value: LogCommandBodyRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(match value {
                        LogCommandBodyRef::ReplaceConfig(value) => Self::ReplaceConfig(
                            ::planus::alloc::boxed::Box::new(::core::convert::TryFrom::try_from(value)?),
                        ),

                        LogCommandBodyRef::Evacuation(value) => Self::Evacuation(
                            ::planus::alloc::boxed::Box::new(::core::convert::TryFrom::try_from(value)?),
                        ),
                    })
                }
            }

            impl<'a> ::planus::TableReadUnion<'a> for LogCommandBodyRef<'a> {
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    tag: u8,
                    field_offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    match tag {
                        1 => ::core::result::Result::Ok(Self::ReplaceConfig(
                            ::planus::TableRead::from_buffer(buffer, field_offset)?,
                        )),
                        2 => ::core::result::Result::Ok(Self::Evacuation(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        _ => {
                            ::core::result::Result::Err(::planus::errors::ErrorKind::UnknownUnionTag { tag })
                        }
                    }
                }
            }

            impl<'a> ::planus::VectorReadUnion<'a> for LogCommandBodyRef<'a> {
                const VECTOR_NAME: &'static str = "[LogCommandBodyRef]";
            }

            ///  A command of an operator as the payload of a log entry.
            ///
            /// Generated from these locations:
            /// * Table `LogCommand` in the file `protocol.fbs:186`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct LogCommand {
                /// The field `body` in the table `LogCommand`
                pub body: ::core::option::Option<self::LogCommandBody>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for LogCommand {
                fn default() -> Self {
                    Self { body: ::core::default::Default::default() }
                }
            }

            impl LogCommand {
                /// Creates a [LogCommandBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> LogCommandBuilder<()> {
                    LogCommandBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_body: impl ::planus::WriteAsOptionalUnion<self::LogCommandBody>,
                ) -> ::planus::Offset<Self> {
                    let prepared_body = field_body.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    if prepared_body.is_some() {
                        table_writer.write_entry::<::planus::Offset<self::LogCommandBody>>(1);
                    }
                    if prepared_body.is_some() {
                        table_writer.write_entry::<u8>(0);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_body) = prepared_body {
                                object_writer.write::<_, _, 4>(&prepared_body.offset());
                            }
                            if let ::core::option::Option::Some(prepared_body) = prepared_body {
                                object_writer.write::<_, _, 1>(&prepared_body.tag());
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<LogCommand>> for LogCommand {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LogCommand> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<LogCommand>> for LogCommand {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<LogCommand>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<LogCommand> for LogCommand {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LogCommand> {
                    LogCommand::create(builder, &self.body)
                }
            }

            /// Builder for serializing an instance of the [LogCommand] type.
            ///
            /// Can be created using the [LogCommand::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct LogCommandBuilder<State>(State);

            impl LogCommandBuilder<()> {
                /// Setter for the [`body` field](LogCommand#structfield.body).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn body<T0>(self, value: T0) -> LogCommandBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsOptionalUnion<self::LogCommandBody>,
                {
                    LogCommandBuilder((value,))
                }

                /// Sets the [`body` field](LogCommand#structfield.body) to null.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn body_as_null(self) -> LogCommandBuilder<((),)> {
                    self.body(())
                }
            }

            impl<T0> LogCommandBuilder<(T0,)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [LogCommand].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<LogCommand>
                where
                    Self: ::planus::WriteAsOffset<LogCommand>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAsOptionalUnion<self::LogCommandBody>>
                ::planus::WriteAs<::planus::Offset<LogCommand>> for LogCommandBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<LogCommand>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LogCommand> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAsOptionalUnion<self::LogCommandBody>>
                ::planus::WriteAsOptional<::planus::Offset<LogCommand>> for LogCommandBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<LogCommand>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<LogCommand>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAsOptionalUnion<self::LogCommandBody>> ::planus::WriteAsOffset<LogCommand>
                for LogCommandBuilder<(T0,)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<LogCommand> {
                    let (v0,) = &self.0;
                    LogCommand::create(builder, v0)
                }
            }

            /// Reference to a deserialized [LogCommand].
            #[derive(Copy, Clone)]
            pub struct LogCommandRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> LogCommandRef<'a> {
                /// Getter for the [`body` field](LogCommand#structfield.body).
                #[inline]
                pub fn body(&self) -> ::planus::Result<::core::option::Option<self::LogCommandBodyRef<'a>>> {
                    self.0.access_union(0, "LogCommand", "body")
                }
            }

            impl<'a> ::core::fmt::Debug for LogCommandRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("LogCommandRef");
                    if let ::core::option::Option::Some(field_body) = self.body().transpose() {
                        f.field("body", &field_body);
                    }
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<LogCommandRef<'a>> for LogCommand {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: LogCommandRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        body: if let ::core::option::Option::Some(body) = value.body()? {
                            ::core::option::Option::Some(::core::convert::TryInto::try_into(body)?)
                        } else {
                            ::core::option::Option::None
                        },
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for LogCommandRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for LogCommandRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[LogCommandRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<LogCommand>> for LogCommand {
                type Value = ::planus::Offset<LogCommand>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<LogCommand>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for LogCommandRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[LogCommandRef]", "read_as_root", 0)
                    })
                }
            }

            /// The table `AppliedConfig` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `AppliedConfig` in the file `protocol.fbs:188`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct AppliedConfig {
                /// The field `version` in the table `AppliedConfig`
                pub version: u64,
                /// The field `base` in the table `AppliedConfig`
                pub base: u64,
                /// The field `content_hash` in the table `AppliedConfig`
                pub content_hash: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for AppliedConfig {
                fn default() -> Self {
                    Self { version: 0, base: 0, content_hash: 0 }
                }
            }

            impl AppliedConfig {
                /// Creates a [AppliedConfigBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> AppliedConfigBuilder<()> {
                    AppliedConfigBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_version: impl ::planus::WriteAsDefault<u64, u64>,
                    field_base: impl ::planus::WriteAsDefault<u64, u64>,
                    field_content_hash: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_version = field_version.prepare(builder, &0);
                    let prepared_base = field_base.prepare(builder, &0);
                    let prepared_content_hash = field_content_hash.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_version.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_base.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    if prepared_content_hash.is_some() {
                        table_writer.write_entry::<u64>(2);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_version) = prepared_version {
                                object_writer.write::<_, _, 8>(&prepared_version);
                            }
                            if let ::core::option::Option::Some(prepared_base) = prepared_base {
                                object_writer.write::<_, _, 8>(&prepared_base);
                            }
                            if let ::core::option::Option::Some(prepared_content_hash) = prepared_content_hash
                            {
                                object_writer.write::<_, _, 8>(&prepared_content_hash);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<AppliedConfig>> for AppliedConfig {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppliedConfig> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<AppliedConfig>> for AppliedConfig {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<AppliedConfig>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<AppliedConfig> for AppliedConfig {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppliedConfig> {
                    AppliedConfig::create(builder, self.version, self.base, self.content_hash)
                }
            }

            /// Builder for serializing an instance of the [AppliedConfig] type.
            ///
            /// Can be created using the [AppliedConfig::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct AppliedConfigBuilder<State>(State);

            impl AppliedConfigBuilder<()> {
                /// Setter for the [`version` field](AppliedConfig#structfield.version).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version<T0>(self, value: T0) -> AppliedConfigBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    AppliedConfigBuilder((value,))
                }

                /// Sets the [`version` field](AppliedConfig#structfield.version) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version_as_default(self) -> AppliedConfigBuilder<(::planus::DefaultValue,)> {
                    self.version(::planus::DefaultValue)
                }
            }

            impl<T0> AppliedConfigBuilder<(T0,)> {
                /// Setter for the [`base` field](AppliedConfig#structfield.base).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn base<T1>(self, value: T1) -> AppliedConfigBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    AppliedConfigBuilder((v0, value))
                }

                /// Sets the [`base` field](AppliedConfig#structfield.base) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn base_as_default(self) -> AppliedConfigBuilder<(T0, ::planus::DefaultValue)> {
                    self.base(::planus::DefaultValue)
                }
            }

            impl<T0, T1> AppliedConfigBuilder<(T0, T1)> {
                /// Setter for the [`content_hash` field](AppliedConfig#structfield.content_hash).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn content_hash<T2>(self, value: T2) -> AppliedConfigBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1) = self.0;
                    AppliedConfigBuilder((v0, v1, value))
                }

                /// Sets the [`content_hash` field](AppliedConfig#structfield.content_hash) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn content_hash_as_default(
                    self,
                ) -> AppliedConfigBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.content_hash(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> AppliedConfigBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [AppliedConfig].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppliedConfig>
                where
                    Self: ::planus::WriteAsOffset<AppliedConfig>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAs<::planus::Offset<AppliedConfig>> for AppliedConfigBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<AppliedConfig>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppliedConfig> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOptional<::planus::Offset<AppliedConfig>>
                for AppliedConfigBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<AppliedConfig>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<AppliedConfig>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOffset<AppliedConfig> for AppliedConfigBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<AppliedConfig> {
                    let (v0, v1, v2) = &self.0;
                    AppliedConfig::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [AppliedConfig].
            #[derive(Copy, Clone)]
            pub struct AppliedConfigRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> AppliedConfigRef<'a> {
                /// Getter for the [`version` field](AppliedConfig#structfield.version).
                #[inline]
                pub fn version(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "AppliedConfig", "version")?.unwrap_or(0))
                }

                /// Getter for the [`base` field](AppliedConfig#structfield.base).
                #[inline]
                pub fn base(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "AppliedConfig", "base")?.unwrap_or(0))
                }

                /// Getter for the [`content_hash` field](AppliedConfig#structfield.content_hash).
                #[inline]
                pub fn content_hash(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(
                        self.0.access(2, "AppliedConfig", "content_hash")?.unwrap_or(0),
                    )
                }
            }

            impl<'a> ::core::fmt::Debug for AppliedConfigRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("AppliedConfigRef");
                    f.field("version", &self.version());
                    f.field("base", &self.base());
                    f.field("content_hash", &self.content_hash());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<AppliedConfigRef<'a>> for AppliedConfig {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: AppliedConfigRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        version: ::core::convert::TryInto::try_into(value.version()?)?,
                        base: ::core::convert::TryInto::try_into(value.base()?)?,
                        content_hash: ::core::convert::TryInto::try_into(value.content_hash()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for AppliedConfigRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for AppliedConfigRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[AppliedConfigRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<AppliedConfig>> for AppliedConfig {
                type Value = ::planus::Offset<AppliedConfig>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<AppliedConfig>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for AppliedConfigRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[AppliedConfigRef]", "read_as_root", 0)
                    })
                }
            }

            /// The table `EvacuatedZone` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `EvacuatedZone` in the file `protocol.fbs:189`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct EvacuatedZone {
                /// The field `zone` in the table `EvacuatedZone`
                pub zone: ::planus::alloc::string::String,
                /// The field `active` in the table `EvacuatedZone`
                pub active: bool,
                /// The field `index` in the table `EvacuatedZone`
                pub index: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for EvacuatedZone {
                fn default() -> Self {
                    Self { zone: ::core::default::Default::default(), active: false, index: 0 }
                }
            }

            impl EvacuatedZone {
                /// Creates a [EvacuatedZoneBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> EvacuatedZoneBuilder<()> {
                    EvacuatedZoneBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_zone: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_active: impl ::planus::WriteAsDefault<bool, bool>,
                    field_index: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_zone = field_zone.prepare(builder);
                    let prepared_active = field_active.prepare(builder, &false);
                    let prepared_index = field_index.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_index.is_some() {
                        table_writer.write_entry::<u64>(2);
                    }
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    if prepared_active.is_some() {
                        table_writer.write_entry::<bool>(1);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_index) = prepared_index {
                                object_writer.write::<_, _, 8>(&prepared_index);
                            }
                            object_writer.write::<_, _, 4>(&prepared_zone);
                            if let ::core::option::Option::Some(prepared_active) = prepared_active {
                                object_writer.write::<_, _, 1>(&prepared_active);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<EvacuatedZone>> for EvacuatedZone {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<EvacuatedZone> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<EvacuatedZone>> for EvacuatedZone {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<EvacuatedZone>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<EvacuatedZone> for EvacuatedZone {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<EvacuatedZone> {
                    EvacuatedZone::create(builder, &self.zone, self.active, self.index)
                }
            }

            /// Builder for serializing an instance of the [EvacuatedZone] type.
            ///
            /// Can be created using the [EvacuatedZone::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct EvacuatedZoneBuilder<State>(State);

            impl EvacuatedZoneBuilder<()> {
                /// Setter for the [`zone` field](EvacuatedZone#structfield.zone).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zone<T0>(self, value: T0) -> EvacuatedZoneBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    EvacuatedZoneBuilder((value,))
                }
            }

            impl<T0> EvacuatedZoneBuilder<(T0,)> {
                /// Setter for the [`active` field](EvacuatedZone#structfield.active).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn active<T1>(self, value: T1) -> EvacuatedZoneBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0,) = self.0;
                    EvacuatedZoneBuilder((v0, value))
                }

                /// Sets the [`active` field](EvacuatedZone#structfield.active) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn active_as_default(self) -> EvacuatedZoneBuilder<(T0, ::planus::DefaultValue)> {
                    self.active(::planus::DefaultValue)
                }
            }

            impl<T0, T1> EvacuatedZoneBuilder<(T0, T1)> {
                /// Setter for the [`index` field](EvacuatedZone#structfield.index).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn index<T2>(self, value: T2) -> EvacuatedZoneBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1) = self.0;
                    EvacuatedZoneBuilder((v0, v1, value))
                }

                /// Sets the [`index` field](EvacuatedZone#structfield.index) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn index_as_default(self) -> EvacuatedZoneBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.index(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> EvacuatedZoneBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [EvacuatedZone].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<EvacuatedZone>
                where
                    Self: ::planus::WriteAsOffset<EvacuatedZone>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAs<::planus::Offset<EvacuatedZone>> for EvacuatedZoneBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<EvacuatedZone>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<EvacuatedZone> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOptional<::planus::Offset<EvacuatedZone>>
                for EvacuatedZoneBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<EvacuatedZone>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<EvacuatedZone>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOffset<EvacuatedZone> for EvacuatedZoneBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<EvacuatedZone> {
                    let (v0, v1, v2) = &self.0;
                    EvacuatedZone::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [EvacuatedZone].
            #[derive(Copy, Clone)]
            pub struct EvacuatedZoneRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> EvacuatedZoneRef<'a> {
                /// Getter for the [`zone` field](EvacuatedZone#structfield.zone).
                #[inline]
                pub fn zone(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "EvacuatedZone", "zone")
                }

                /// Getter for the [`active` field](EvacuatedZone#structfield.active).
                #[inline]
                pub fn active(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(1, "EvacuatedZone", "active")?.unwrap_or(false))
                }

                /// Getter for the [`index` field](EvacuatedZone#structfield.index).
                #[inline]
                pub fn index(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(2, "EvacuatedZone", "index")?.unwrap_or(0))
                }
            }

            impl<'a> ::core::fmt::Debug for EvacuatedZoneRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("EvacuatedZoneRef");
                    f.field("zone", &self.zone());
                    f.field("active", &self.active());
                    f.field("index", &self.index());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<EvacuatedZoneRef<'a>> for EvacuatedZone {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: EvacuatedZoneRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        zone: ::core::convert::Into::into(value.zone()?),
                        active: ::core::convert::TryInto::try_into(value.active()?)?,
                        index: ::core::convert::TryInto::try_into(value.index()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for EvacuatedZoneRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for EvacuatedZoneRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[EvacuatedZoneRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<EvacuatedZone>> for EvacuatedZone {
                type Value = ::planus::Offset<EvacuatedZone>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<EvacuatedZone>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for EvacuatedZoneRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[EvacuatedZoneRef]", "read_as_root", 0)
                    })
                }
            }

            ///  The replicated state, as a snapshot stores it.
            ///
            /// Generated from these locations:
            /// * Table `ControlSnapshot` in the file `protocol.fbs:191`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ControlSnapshot {
                /// The field `version` in the table `ControlSnapshot`
                pub version: u64,
                /// The field `body` in the table `ControlSnapshot`
                pub body: ::planus::alloc::vec::Vec<u8>,
                /// The field `history` in the table `ControlSnapshot`
                pub history: ::planus::alloc::vec::Vec<self::AppliedConfig>,
                /// The field `zones` in the table `ControlSnapshot`
                pub zones: ::planus::alloc::vec::Vec<self::EvacuatedZone>,
                /// The field `config_index` in the table `ControlSnapshot`
                pub config_index: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ControlSnapshot {
                fn default() -> Self {
                    Self {
                        version: 0,
                        body: ::core::default::Default::default(),
                        history: ::core::default::Default::default(),
                        zones: ::core::default::Default::default(),
                        config_index: 0,
                    }
                }
            }

            impl ControlSnapshot {
                /// Creates a [ControlSnapshotBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ControlSnapshotBuilder<()> {
                    ControlSnapshotBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_version: impl ::planus::WriteAsDefault<u64, u64>,
                    field_body: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                    field_history: impl ::planus::WriteAs<
                        ::planus::Offset<[::planus::Offset<self::AppliedConfig>]>,
                    >,
                    field_zones: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::EvacuatedZone>]>>,
                    field_config_index: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_version = field_version.prepare(builder, &0);
                    let prepared_body = field_body.prepare(builder);
                    let prepared_history = field_history.prepare(builder);
                    let prepared_zones = field_zones.prepare(builder);
                    let prepared_config_index = field_config_index.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<14> =
                        ::core::default::Default::default();
                    if prepared_version.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_config_index.is_some() {
                        table_writer.write_entry::<u64>(4);
                    }
                    table_writer.write_entry::<::planus::Offset<[u8]>>(1);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::AppliedConfig>]>>(2);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::EvacuatedZone>]>>(3);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_version) = prepared_version {
                                object_writer.write::<_, _, 8>(&prepared_version);
                            }
                            if let ::core::option::Option::Some(prepared_config_index) = prepared_config_index
                            {
                                object_writer.write::<_, _, 8>(&prepared_config_index);
                            }
                            object_writer.write::<_, _, 4>(&prepared_body);
                            object_writer.write::<_, _, 4>(&prepared_history);
                            object_writer.write::<_, _, 4>(&prepared_zones);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ControlSnapshot>> for ControlSnapshot {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlSnapshot> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ControlSnapshot>> for ControlSnapshot {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ControlSnapshot>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ControlSnapshot> for ControlSnapshot {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlSnapshot> {
                    ControlSnapshot::create(
                        builder,
                        self.version,
                        &self.body,
                        &self.history,
                        &self.zones,
                        self.config_index,
                    )
                }
            }

            /// Builder for serializing an instance of the [ControlSnapshot] type.
            ///
            /// Can be created using the [ControlSnapshot::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ControlSnapshotBuilder<State>(State);

            impl ControlSnapshotBuilder<()> {
                /// Setter for the [`version` field](ControlSnapshot#structfield.version).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version<T0>(self, value: T0) -> ControlSnapshotBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    ControlSnapshotBuilder((value,))
                }

                /// Sets the [`version` field](ControlSnapshot#structfield.version) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version_as_default(self) -> ControlSnapshotBuilder<(::planus::DefaultValue,)> {
                    self.version(::planus::DefaultValue)
                }
            }

            impl<T0> ControlSnapshotBuilder<(T0,)> {
                /// Setter for the [`body` field](ControlSnapshot#structfield.body).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn body<T1>(self, value: T1) -> ControlSnapshotBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0,) = self.0;
                    ControlSnapshotBuilder((v0, value))
                }
            }

            impl<T0, T1> ControlSnapshotBuilder<(T0, T1)> {
                /// Setter for the [`history` field](ControlSnapshot#structfield.history).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn history<T2>(self, value: T2) -> ControlSnapshotBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::AppliedConfig>]>>,
                {
                    let (v0, v1) = self.0;
                    ControlSnapshotBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ControlSnapshotBuilder<(T0, T1, T2)> {
                /// Setter for the [`zones` field](ControlSnapshot#structfield.zones).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zones<T3>(self, value: T3) -> ControlSnapshotBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::EvacuatedZone>]>>,
                {
                    let (v0, v1, v2) = self.0;
                    ControlSnapshotBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ControlSnapshotBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`config_index` field](ControlSnapshot#structfield.config_index).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn config_index<T4>(self, value: T4) -> ControlSnapshotBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    ControlSnapshotBuilder((v0, v1, v2, v3, value))
                }

                /// Sets the [`config_index` field](ControlSnapshot#structfield.config_index) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn config_index_as_default(
                    self,
                ) -> ControlSnapshotBuilder<(T0, T1, T2, T3, ::planus::DefaultValue)> {
                    self.config_index(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4> ControlSnapshotBuilder<(T0, T1, T2, T3, T4)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ControlSnapshot].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlSnapshot>
                where
                    Self: ::planus::WriteAsOffset<ControlSnapshot>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::AppliedConfig>]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::EvacuatedZone>]>>,
                    T4: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAs<::planus::Offset<ControlSnapshot>>
                for ControlSnapshotBuilder<(T0, T1, T2, T3, T4)>
            {
                type Prepared = ::planus::Offset<ControlSnapshot>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlSnapshot> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::AppliedConfig>]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::EvacuatedZone>]>>,
                    T4: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOptional<::planus::Offset<ControlSnapshot>>
                for ControlSnapshotBuilder<(T0, T1, T2, T3, T4)>
            {
                type Prepared = ::planus::Offset<ControlSnapshot>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ControlSnapshot>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::AppliedConfig>]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::EvacuatedZone>]>>,
                    T4: ::planus::WriteAsDefault<u64, u64>,
                > ::planus::WriteAsOffset<ControlSnapshot> for ControlSnapshotBuilder<(T0, T1, T2, T3, T4)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlSnapshot> {
                    let (v0, v1, v2, v3, v4) = &self.0;
                    ControlSnapshot::create(builder, v0, v1, v2, v3, v4)
                }
            }

            /// Reference to a deserialized [ControlSnapshot].
            #[derive(Copy, Clone)]
            pub struct ControlSnapshotRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ControlSnapshotRef<'a> {
                /// Getter for the [`version` field](ControlSnapshot#structfield.version).
                #[inline]
                pub fn version(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "ControlSnapshot", "version")?.unwrap_or(0))
                }

                /// Getter for the [`body` field](ControlSnapshot#structfield.body).
                #[inline]
                pub fn body(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(1, "ControlSnapshot", "body")
                }

                /// Getter for the [`history` field](ControlSnapshot#structfield.history).
                #[inline]
                pub fn history(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::AppliedConfigRef<'a>>>>
                {
                    self.0.access_required(2, "ControlSnapshot", "history")
                }

                /// Getter for the [`zones` field](ControlSnapshot#structfield.zones).
                #[inline]
                pub fn zones(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::EvacuatedZoneRef<'a>>>>
                {
                    self.0.access_required(3, "ControlSnapshot", "zones")
                }

                /// Getter for the [`config_index` field](ControlSnapshot#structfield.config_index).
                #[inline]
                pub fn config_index(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(
                        self.0.access(4, "ControlSnapshot", "config_index")?.unwrap_or(0),
                    )
                }
            }

            impl<'a> ::core::fmt::Debug for ControlSnapshotRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ControlSnapshotRef");
                    f.field("version", &self.version());
                    f.field("body", &self.body());
                    f.field("history", &self.history());
                    f.field("zones", &self.zones());
                    f.field("config_index", &self.config_index());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ControlSnapshotRef<'a>> for ControlSnapshot {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ControlSnapshotRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        version: ::core::convert::TryInto::try_into(value.version()?)?,
                        body: value.body()?.to_vec(),
                        history: value.history()?.to_vec_result()?,
                        zones: value.zones()?.to_vec_result()?,
                        config_index: ::core::convert::TryInto::try_into(value.config_index()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ControlSnapshotRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ControlSnapshotRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location(
                            "[ControlSnapshotRef]",
                            "get",
                            buffer.offset_from_start,
                        )
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ControlSnapshot>> for ControlSnapshot {
                type Value = ::planus::Offset<ControlSnapshot>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ControlSnapshot>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ControlSnapshotRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ControlSnapshotRef]", "read_as_root", 0)
                    })
                }
            }

            ///  The durable state of a witness.
            ///
            /// Generated from these locations:
            /// * Table `WitnessRecord` in the file `protocol.fbs:194`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct WitnessRecord {
                /// The field `incarnation` in the table `WitnessRecord`
                pub incarnation: u64,
                /// The field `promised` in the table `WitnessRecord`
                pub promised: u64,
                /// The field `promised_to` in the table `WitnessRecord`
                pub promised_to: self::NodeId,
                /// The field `accepted` in the table `WitnessRecord`
                pub accepted: ::core::option::Option<::planus::alloc::boxed::Box<self::View>>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for WitnessRecord {
                fn default() -> Self {
                    Self {
                        incarnation: 0,
                        promised: 0,
                        promised_to: ::core::default::Default::default(),
                        accepted: ::core::default::Default::default(),
                    }
                }
            }

            impl WitnessRecord {
                /// Creates a [WitnessRecordBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> WitnessRecordBuilder<()> {
                    WitnessRecordBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_incarnation: impl ::planus::WriteAsDefault<u64, u64>,
                    field_promised: impl ::planus::WriteAsDefault<u64, u64>,
                    field_promised_to: impl ::planus::WriteAs<self::NodeId>,
                    field_accepted: impl ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_incarnation = field_incarnation.prepare(builder, &0);
                    let prepared_promised = field_promised.prepare(builder, &0);
                    let prepared_promised_to = field_promised_to.prepare(builder);
                    let prepared_accepted = field_accepted.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
                        ::core::default::Default::default();
                    if prepared_incarnation.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_promised.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    table_writer.write_entry::<self::NodeId>(2);
                    if prepared_accepted.is_some() {
                        table_writer.write_entry::<::planus::Offset<self::View>>(3);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_incarnation) = prepared_incarnation {
                                object_writer.write::<_, _, 8>(&prepared_incarnation);
                            }
                            if let ::core::option::Option::Some(prepared_promised) = prepared_promised {
                                object_writer.write::<_, _, 8>(&prepared_promised);
                            }
                            object_writer.write::<_, _, 16>(&prepared_promised_to);
                            if let ::core::option::Option::Some(prepared_accepted) = prepared_accepted {
                                object_writer.write::<_, _, 4>(&prepared_accepted);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<WitnessRecord>> for WitnessRecord {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<WitnessRecord> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<WitnessRecord>> for WitnessRecord {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<WitnessRecord>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<WitnessRecord> for WitnessRecord {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<WitnessRecord> {
                    WitnessRecord::create(
                        builder,
                        self.incarnation,
                        self.promised,
                        self.promised_to,
                        &self.accepted,
                    )
                }
            }

            /// Builder for serializing an instance of the [WitnessRecord] type.
            ///
            /// Can be created using the [WitnessRecord::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct WitnessRecordBuilder<State>(State);

            impl WitnessRecordBuilder<()> {
                /// Setter for the [`incarnation` field](WitnessRecord#structfield.incarnation).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn incarnation<T0>(self, value: T0) -> WitnessRecordBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    WitnessRecordBuilder((value,))
                }

                /// Sets the [`incarnation` field](WitnessRecord#structfield.incarnation) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn incarnation_as_default(self) -> WitnessRecordBuilder<(::planus::DefaultValue,)> {
                    self.incarnation(::planus::DefaultValue)
                }
            }

            impl<T0> WitnessRecordBuilder<(T0,)> {
                /// Setter for the [`promised` field](WitnessRecord#structfield.promised).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised<T1>(self, value: T1) -> WitnessRecordBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    WitnessRecordBuilder((v0, value))
                }

                /// Sets the [`promised` field](WitnessRecord#structfield.promised) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised_as_default(self) -> WitnessRecordBuilder<(T0, ::planus::DefaultValue)> {
                    self.promised(::planus::DefaultValue)
                }
            }

            impl<T0, T1> WitnessRecordBuilder<(T0, T1)> {
                /// Setter for the [`promised_to` field](WitnessRecord#structfield.promised_to).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn promised_to<T2>(self, value: T2) -> WitnessRecordBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<self::NodeId>,
                {
                    let (v0, v1) = self.0;
                    WitnessRecordBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> WitnessRecordBuilder<(T0, T1, T2)> {
                /// Setter for the [`accepted` field](WitnessRecord#structfield.accepted).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn accepted<T3>(self, value: T3) -> WitnessRecordBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                {
                    let (v0, v1, v2) = self.0;
                    WitnessRecordBuilder((v0, v1, v2, value))
                }

                /// Sets the [`accepted` field](WitnessRecord#structfield.accepted) to null.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn accepted_as_null(self) -> WitnessRecordBuilder<(T0, T1, T2, ())> {
                    self.accepted(())
                }
            }

            impl<T0, T1, T2, T3> WitnessRecordBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [WitnessRecord].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<WitnessRecord>
                where
                    Self: ::planus::WriteAsOffset<WitnessRecord>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<self::NodeId>,
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                > ::planus::WriteAs<::planus::Offset<WitnessRecord>>
                for WitnessRecordBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<WitnessRecord>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<WitnessRecord> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<self::NodeId>,
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                > ::planus::WriteAsOptional<::planus::Offset<WitnessRecord>>
                for WitnessRecordBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<WitnessRecord>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<WitnessRecord>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAs<self::NodeId>,
                    T3: ::planus::WriteAsOptional<::planus::Offset<self::View>>,
                > ::planus::WriteAsOffset<WitnessRecord> for WitnessRecordBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<WitnessRecord> {
                    let (v0, v1, v2, v3) = &self.0;
                    WitnessRecord::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [WitnessRecord].
            #[derive(Copy, Clone)]
            pub struct WitnessRecordRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> WitnessRecordRef<'a> {
                /// Getter for the [`incarnation` field](WitnessRecord#structfield.incarnation).
                #[inline]
                pub fn incarnation(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "WitnessRecord", "incarnation")?.unwrap_or(0))
                }

                /// Getter for the [`promised` field](WitnessRecord#structfield.promised).
                #[inline]
                pub fn promised(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "WitnessRecord", "promised")?.unwrap_or(0))
                }

                /// Getter for the [`promised_to` field](WitnessRecord#structfield.promised_to).
                #[inline]
                pub fn promised_to(&self) -> ::planus::Result<self::NodeIdRef<'a>> {
                    self.0.access_required(2, "WitnessRecord", "promised_to")
                }

                /// Getter for the [`accepted` field](WitnessRecord#structfield.accepted).
                #[inline]
                pub fn accepted(&self) -> ::planus::Result<::core::option::Option<self::ViewRef<'a>>> {
                    self.0.access(3, "WitnessRecord", "accepted")
                }
            }

            impl<'a> ::core::fmt::Debug for WitnessRecordRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("WitnessRecordRef");
                    f.field("incarnation", &self.incarnation());
                    f.field("promised", &self.promised());
                    f.field("promised_to", &self.promised_to());
                    if let ::core::option::Option::Some(field_accepted) = self.accepted().transpose() {
                        f.field("accepted", &field_accepted);
                    }
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<WitnessRecordRef<'a>> for WitnessRecord {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: WitnessRecordRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        incarnation: ::core::convert::TryInto::try_into(value.incarnation()?)?,
                        promised: ::core::convert::TryInto::try_into(value.promised()?)?,
                        promised_to: ::core::convert::Into::into(value.promised_to()?),
                        accepted: if let ::core::option::Option::Some(accepted) = value.accepted()? {
                            ::core::option::Option::Some(::planus::alloc::boxed::Box::new(
                                ::core::convert::TryInto::try_into(accepted)?,
                            ))
                        } else {
                            ::core::option::Option::None
                        },
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for WitnessRecordRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for WitnessRecordRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[WitnessRecordRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<WitnessRecord>> for WitnessRecord {
                type Value = ::planus::Offset<WitnessRecord>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<WitnessRecord>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for WitnessRecordRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[WitnessRecordRef]", "read_as_root", 0)
                    })
                }
            }

            /// The union `Body` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Union `Body` in the file `protocol.fbs:196`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub enum Body {
                /// The variant of type `Hello` in the union `Body`
                Hello(::planus::alloc::boxed::Box<self::Hello>),

                /// The variant of type `ControlNodes` in the union `Body`
                ControlNodes(::planus::alloc::boxed::Box<self::ControlNodes>),

                /// The variant of type `Prepare` in the union `Body`
                Prepare(::planus::alloc::boxed::Box<self::Prepare>),

                /// The variant of type `Promise` in the union `Body`
                Promise(::planus::alloc::boxed::Box<self::Promise>),

                /// The variant of type `FetchState` in the union `Body`
                FetchState(::planus::alloc::boxed::Box<self::FetchState>),

                /// The variant of type `StateTransfer` in the union `Body`
                StateTransfer(::planus::alloc::boxed::Box<self::StateTransfer>),

                /// The variant of type `Install` in the union `Body`
                Install(::planus::alloc::boxed::Box<self::Install>),

                /// The variant of type `Installed` in the union `Body`
                Installed(::planus::alloc::boxed::Box<self::Installed>),

                /// The variant of type `Accept` in the union `Body`
                Accept(::planus::alloc::boxed::Box<self::Accept>),

                /// The variant of type `Accepted` in the union `Body`
                Accepted(::planus::alloc::boxed::Box<self::Accepted>),

                /// The variant of type `Append` in the union `Body`
                Append(::planus::alloc::boxed::Box<self::Append>),

                /// The variant of type `AppendAck` in the union `Body`
                AppendAck(::planus::alloc::boxed::Box<self::AppendAck>),

                /// The variant of type `LeaseRequest` in the union `Body`
                LeaseRequest(::planus::alloc::boxed::Box<self::LeaseRequest>),

                /// The variant of type `LeaseGrant` in the union `Body`
                LeaseGrant(::planus::alloc::boxed::Box<self::LeaseGrant>),

                /// The variant of type `Subscribe` in the union `Body`
                Subscribe(::planus::alloc::boxed::Box<self::Subscribe>),

                /// The variant of type `Update` in the union `Body`
                Update(::planus::alloc::boxed::Box<self::Update>),

                /// The variant of type `Report` in the union `Body`
                Report(::planus::alloc::boxed::Box<self::Report>),

                /// The variant of type `Totals` in the union `Body`
                Totals(::planus::alloc::boxed::Box<self::Totals>),

                /// The variant of type `Ping` in the union `Body`
                Ping(::planus::alloc::boxed::Box<self::Ping>),

                /// The variant of type `PingAck` in the union `Body`
                PingAck(::planus::alloc::boxed::Box<self::PingAck>),

                /// The variant of type `Reject` in the union `Body`
                Reject(::planus::alloc::boxed::Box<self::Reject>),

                /// The variant of type `Resign` in the union `Body`
                Resign(::planus::alloc::boxed::Box<self::Resign>),
            }

            impl Body {
                /// Creates a [BodyBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> BodyBuilder<::planus::Uninitialized> {
                    BodyBuilder(::planus::Uninitialized)
                }

                #[inline]
                pub fn create_hello(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Hello>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(1, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_control_nodes(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::ControlNodes>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(2, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_prepare(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Prepare>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(3, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_promise(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Promise>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(4, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_fetch_state(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::FetchState>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(5, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_state_transfer(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::StateTransfer>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(6, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_install(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Install>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(7, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_installed(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Installed>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(8, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_accept(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Accept>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(9, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_accepted(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Accepted>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(10, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_append(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Append>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(11, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_append_ack(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::AppendAck>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(12, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_lease_request(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::LeaseRequest>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(13, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_lease_grant(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::LeaseGrant>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(14, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_subscribe(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Subscribe>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(15, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_update(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Update>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(16, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_report(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Report>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(17, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_totals(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Totals>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(18, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_ping(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Ping>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(19, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_ping_ack(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::PingAck>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(20, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_reject(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Reject>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(21, value.prepare(builder).downcast())
                }

                #[inline]
                pub fn create_resign(
                    builder: &mut ::planus::Builder,
                    value: impl ::planus::WriteAsOffset<self::Resign>,
                ) -> ::planus::UnionOffset<Self> {
                    ::planus::UnionOffset::new(22, value.prepare(builder).downcast())
                }
            }

            impl ::planus::WriteAsUnion<Body> for Body {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Self> {
                    match self {
                        Self::Hello(value) => Self::create_hello(builder, value),
                        Self::ControlNodes(value) => Self::create_control_nodes(builder, value),
                        Self::Prepare(value) => Self::create_prepare(builder, value),
                        Self::Promise(value) => Self::create_promise(builder, value),
                        Self::FetchState(value) => Self::create_fetch_state(builder, value),
                        Self::StateTransfer(value) => Self::create_state_transfer(builder, value),
                        Self::Install(value) => Self::create_install(builder, value),
                        Self::Installed(value) => Self::create_installed(builder, value),
                        Self::Accept(value) => Self::create_accept(builder, value),
                        Self::Accepted(value) => Self::create_accepted(builder, value),
                        Self::Append(value) => Self::create_append(builder, value),
                        Self::AppendAck(value) => Self::create_append_ack(builder, value),
                        Self::LeaseRequest(value) => Self::create_lease_request(builder, value),
                        Self::LeaseGrant(value) => Self::create_lease_grant(builder, value),
                        Self::Subscribe(value) => Self::create_subscribe(builder, value),
                        Self::Update(value) => Self::create_update(builder, value),
                        Self::Report(value) => Self::create_report(builder, value),
                        Self::Totals(value) => Self::create_totals(builder, value),
                        Self::Ping(value) => Self::create_ping(builder, value),
                        Self::PingAck(value) => Self::create_ping_ack(builder, value),
                        Self::Reject(value) => Self::create_reject(builder, value),
                        Self::Resign(value) => Self::create_resign(builder, value),
                    }
                }
            }

            impl ::planus::WriteAsOptionalUnion<Body> for Body {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Self>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }

            /// Builder for serializing an instance of the [Body] type.
            ///
            /// Can be created using the [Body::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct BodyBuilder<T>(T);

            impl BodyBuilder<::planus::Uninitialized> {
                /// Creates an instance of the [`Hello` variant](Body#variant.Hello).
                #[inline]
                pub fn hello<T>(self, value: T) -> BodyBuilder<::planus::Initialized<1, T>>
                where
                    T: ::planus::WriteAsOffset<self::Hello>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`ControlNodes` variant](Body#variant.ControlNodes).
                #[inline]
                pub fn control_nodes<T>(self, value: T) -> BodyBuilder<::planus::Initialized<2, T>>
                where
                    T: ::planus::WriteAsOffset<self::ControlNodes>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Prepare` variant](Body#variant.Prepare).
                #[inline]
                pub fn prepare<T>(self, value: T) -> BodyBuilder<::planus::Initialized<3, T>>
                where
                    T: ::planus::WriteAsOffset<self::Prepare>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Promise` variant](Body#variant.Promise).
                #[inline]
                pub fn promise<T>(self, value: T) -> BodyBuilder<::planus::Initialized<4, T>>
                where
                    T: ::planus::WriteAsOffset<self::Promise>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`FetchState` variant](Body#variant.FetchState).
                #[inline]
                pub fn fetch_state<T>(self, value: T) -> BodyBuilder<::planus::Initialized<5, T>>
                where
                    T: ::planus::WriteAsOffset<self::FetchState>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`StateTransfer` variant](Body#variant.StateTransfer).
                #[inline]
                pub fn state_transfer<T>(self, value: T) -> BodyBuilder<::planus::Initialized<6, T>>
                where
                    T: ::planus::WriteAsOffset<self::StateTransfer>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Install` variant](Body#variant.Install).
                #[inline]
                pub fn install<T>(self, value: T) -> BodyBuilder<::planus::Initialized<7, T>>
                where
                    T: ::planus::WriteAsOffset<self::Install>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Installed` variant](Body#variant.Installed).
                #[inline]
                pub fn installed<T>(self, value: T) -> BodyBuilder<::planus::Initialized<8, T>>
                where
                    T: ::planus::WriteAsOffset<self::Installed>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Accept` variant](Body#variant.Accept).
                #[inline]
                pub fn accept<T>(self, value: T) -> BodyBuilder<::planus::Initialized<9, T>>
                where
                    T: ::planus::WriteAsOffset<self::Accept>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Accepted` variant](Body#variant.Accepted).
                #[inline]
                pub fn accepted<T>(self, value: T) -> BodyBuilder<::planus::Initialized<10, T>>
                where
                    T: ::planus::WriteAsOffset<self::Accepted>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Append` variant](Body#variant.Append).
                #[inline]
                pub fn append<T>(self, value: T) -> BodyBuilder<::planus::Initialized<11, T>>
                where
                    T: ::planus::WriteAsOffset<self::Append>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`AppendAck` variant](Body#variant.AppendAck).
                #[inline]
                pub fn append_ack<T>(self, value: T) -> BodyBuilder<::planus::Initialized<12, T>>
                where
                    T: ::planus::WriteAsOffset<self::AppendAck>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`LeaseRequest` variant](Body#variant.LeaseRequest).
                #[inline]
                pub fn lease_request<T>(self, value: T) -> BodyBuilder<::planus::Initialized<13, T>>
                where
                    T: ::planus::WriteAsOffset<self::LeaseRequest>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`LeaseGrant` variant](Body#variant.LeaseGrant).
                #[inline]
                pub fn lease_grant<T>(self, value: T) -> BodyBuilder<::planus::Initialized<14, T>>
                where
                    T: ::planus::WriteAsOffset<self::LeaseGrant>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Subscribe` variant](Body#variant.Subscribe).
                #[inline]
                pub fn subscribe<T>(self, value: T) -> BodyBuilder<::planus::Initialized<15, T>>
                where
                    T: ::planus::WriteAsOffset<self::Subscribe>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Update` variant](Body#variant.Update).
                #[inline]
                pub fn update<T>(self, value: T) -> BodyBuilder<::planus::Initialized<16, T>>
                where
                    T: ::planus::WriteAsOffset<self::Update>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Report` variant](Body#variant.Report).
                #[inline]
                pub fn report<T>(self, value: T) -> BodyBuilder<::planus::Initialized<17, T>>
                where
                    T: ::planus::WriteAsOffset<self::Report>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Totals` variant](Body#variant.Totals).
                #[inline]
                pub fn totals<T>(self, value: T) -> BodyBuilder<::planus::Initialized<18, T>>
                where
                    T: ::planus::WriteAsOffset<self::Totals>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Ping` variant](Body#variant.Ping).
                #[inline]
                pub fn ping<T>(self, value: T) -> BodyBuilder<::planus::Initialized<19, T>>
                where
                    T: ::planus::WriteAsOffset<self::Ping>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`PingAck` variant](Body#variant.PingAck).
                #[inline]
                pub fn ping_ack<T>(self, value: T) -> BodyBuilder<::planus::Initialized<20, T>>
                where
                    T: ::planus::WriteAsOffset<self::PingAck>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Reject` variant](Body#variant.Reject).
                #[inline]
                pub fn reject<T>(self, value: T) -> BodyBuilder<::planus::Initialized<21, T>>
                where
                    T: ::planus::WriteAsOffset<self::Reject>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }

                /// Creates an instance of the [`Resign` variant](Body#variant.Resign).
                #[inline]
                pub fn resign<T>(self, value: T) -> BodyBuilder<::planus::Initialized<22, T>>
                where
                    T: ::planus::WriteAsOffset<self::Resign>,
                {
                    BodyBuilder(::planus::Initialized(value))
                }
            }

            impl<const N: u8, T> BodyBuilder<::planus::Initialized<N, T>> {
                /// Finish writing the builder to get an [UnionOffset](::planus::UnionOffset) to a serialized [Body].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body>
                where
                    Self: ::planus::WriteAsUnion<Body>,
                {
                    ::planus::WriteAsUnion::prepare(&self, builder)
                }
            }

            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<1, T>>
            where
                T: ::planus::WriteAsOffset<self::Hello>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(1, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<1, T>>
            where
                T: ::planus::WriteAsOffset<self::Hello>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<2, T>>
            where
                T: ::planus::WriteAsOffset<self::ControlNodes>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(2, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<2, T>>
            where
                T: ::planus::WriteAsOffset<self::ControlNodes>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<3, T>>
            where
                T: ::planus::WriteAsOffset<self::Prepare>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(3, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<3, T>>
            where
                T: ::planus::WriteAsOffset<self::Prepare>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<4, T>>
            where
                T: ::planus::WriteAsOffset<self::Promise>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(4, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<4, T>>
            where
                T: ::planus::WriteAsOffset<self::Promise>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<5, T>>
            where
                T: ::planus::WriteAsOffset<self::FetchState>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(5, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<5, T>>
            where
                T: ::planus::WriteAsOffset<self::FetchState>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<6, T>>
            where
                T: ::planus::WriteAsOffset<self::StateTransfer>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(6, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<6, T>>
            where
                T: ::planus::WriteAsOffset<self::StateTransfer>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<7, T>>
            where
                T: ::planus::WriteAsOffset<self::Install>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(7, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<7, T>>
            where
                T: ::planus::WriteAsOffset<self::Install>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<8, T>>
            where
                T: ::planus::WriteAsOffset<self::Installed>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(8, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<8, T>>
            where
                T: ::planus::WriteAsOffset<self::Installed>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<9, T>>
            where
                T: ::planus::WriteAsOffset<self::Accept>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(9, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<9, T>>
            where
                T: ::planus::WriteAsOffset<self::Accept>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<10, T>>
            where
                T: ::planus::WriteAsOffset<self::Accepted>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(10, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<10, T>>
            where
                T: ::planus::WriteAsOffset<self::Accepted>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<11, T>>
            where
                T: ::planus::WriteAsOffset<self::Append>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(11, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<11, T>>
            where
                T: ::planus::WriteAsOffset<self::Append>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<12, T>>
            where
                T: ::planus::WriteAsOffset<self::AppendAck>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(12, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<12, T>>
            where
                T: ::planus::WriteAsOffset<self::AppendAck>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<13, T>>
            where
                T: ::planus::WriteAsOffset<self::LeaseRequest>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(13, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<13, T>>
            where
                T: ::planus::WriteAsOffset<self::LeaseRequest>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<14, T>>
            where
                T: ::planus::WriteAsOffset<self::LeaseGrant>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(14, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<14, T>>
            where
                T: ::planus::WriteAsOffset<self::LeaseGrant>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<15, T>>
            where
                T: ::planus::WriteAsOffset<self::Subscribe>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(15, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<15, T>>
            where
                T: ::planus::WriteAsOffset<self::Subscribe>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<16, T>>
            where
                T: ::planus::WriteAsOffset<self::Update>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(16, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<16, T>>
            where
                T: ::planus::WriteAsOffset<self::Update>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<17, T>>
            where
                T: ::planus::WriteAsOffset<self::Report>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(17, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<17, T>>
            where
                T: ::planus::WriteAsOffset<self::Report>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<18, T>>
            where
                T: ::planus::WriteAsOffset<self::Totals>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(18, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<18, T>>
            where
                T: ::planus::WriteAsOffset<self::Totals>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<19, T>>
            where
                T: ::planus::WriteAsOffset<self::Ping>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(19, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<19, T>>
            where
                T: ::planus::WriteAsOffset<self::Ping>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<20, T>>
            where
                T: ::planus::WriteAsOffset<self::PingAck>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(20, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<20, T>>
            where
                T: ::planus::WriteAsOffset<self::PingAck>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<21, T>>
            where
                T: ::planus::WriteAsOffset<self::Reject>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(21, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<21, T>>
            where
                T: ::planus::WriteAsOffset<self::Reject>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }
            impl<T> ::planus::WriteAsUnion<Body> for BodyBuilder<::planus::Initialized<22, T>>
            where
                T: ::planus::WriteAsOffset<self::Resign>,
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::UnionOffset<Body> {
                    ::planus::UnionOffset::new(22, (self.0).0.prepare(builder).downcast())
                }
            }

            impl<T> ::planus::WriteAsOptionalUnion<Body> for BodyBuilder<::planus::Initialized<22, T>>
            where
                T: ::planus::WriteAsOffset<self::Resign>,
            {
                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::UnionOffset<Body>> {
                    ::core::option::Option::Some(::planus::WriteAsUnion::prepare(self, builder))
                }
            }

            /// Reference to a deserialized [Body].
            #[derive(Copy, Clone, Debug)]
            pub enum BodyRef<'a> {
                Hello(self::HelloRef<'a>),
                ControlNodes(self::ControlNodesRef<'a>),
                Prepare(self::PrepareRef<'a>),
                Promise(self::PromiseRef<'a>),
                FetchState(self::FetchStateRef<'a>),
                StateTransfer(self::StateTransferRef<'a>),
                Install(self::InstallRef<'a>),
                Installed(self::InstalledRef<'a>),
                Accept(self::AcceptRef<'a>),
                Accepted(self::AcceptedRef<'a>),
                Append(self::AppendRef<'a>),
                AppendAck(self::AppendAckRef<'a>),
                LeaseRequest(self::LeaseRequestRef<'a>),
                LeaseGrant(self::LeaseGrantRef<'a>),
                Subscribe(self::SubscribeRef<'a>),
                Update(self::UpdateRef<'a>),
                Report(self::ReportRef<'a>),
                Totals(self::TotalsRef<'a>),
                Ping(self::PingRef<'a>),
                PingAck(self::PingAckRef<'a>),
                Reject(self::RejectRef<'a>),
                Resign(self::ResignRef<'a>),
            }

            impl<'a> ::core::convert::TryFrom<BodyRef<'a>> for Body {
                type Error = ::planus::Error;

                fn try_from(value: BodyRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(match value {
                        BodyRef::Hello(value) => Self::Hello(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::ControlNodes(value) => Self::ControlNodes(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Prepare(value) => Self::Prepare(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Promise(value) => Self::Promise(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::FetchState(value) => Self::FetchState(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::StateTransfer(value) => Self::StateTransfer(
                            ::planus::alloc::boxed::Box::new(::core::convert::TryFrom::try_from(value)?),
                        ),

                        BodyRef::Install(value) => Self::Install(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Installed(value) => Self::Installed(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Accept(value) => Self::Accept(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Accepted(value) => Self::Accepted(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Append(value) => Self::Append(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::AppendAck(value) => Self::AppendAck(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::LeaseRequest(value) => Self::LeaseRequest(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::LeaseGrant(value) => Self::LeaseGrant(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Subscribe(value) => Self::Subscribe(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Update(value) => Self::Update(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Report(value) => Self::Report(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Totals(value) => Self::Totals(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Ping(value) => Self::Ping(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::PingAck(value) => Self::PingAck(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Reject(value) => Self::Reject(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),

                        BodyRef::Resign(value) => Self::Resign(::planus::alloc::boxed::Box::new(
                            ::core::convert::TryFrom::try_from(value)?,
                        )),
                    })
                }
            }

            impl<'a> ::planus::TableReadUnion<'a> for BodyRef<'a> {
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    tag: u8,
                    field_offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    match tag {
                        1 => ::core::result::Result::Ok(Self::Hello(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        2 => ::core::result::Result::Ok(Self::ControlNodes(
                            ::planus::TableRead::from_buffer(buffer, field_offset)?,
                        )),
                        3 => ::core::result::Result::Ok(Self::Prepare(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        4 => ::core::result::Result::Ok(Self::Promise(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        5 => ::core::result::Result::Ok(Self::FetchState(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        6 => ::core::result::Result::Ok(Self::StateTransfer(
                            ::planus::TableRead::from_buffer(buffer, field_offset)?,
                        )),
                        7 => ::core::result::Result::Ok(Self::Install(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        8 => ::core::result::Result::Ok(Self::Installed(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        9 => ::core::result::Result::Ok(Self::Accept(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        10 => ::core::result::Result::Ok(Self::Accepted(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        11 => ::core::result::Result::Ok(Self::Append(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        12 => ::core::result::Result::Ok(Self::AppendAck(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        13 => ::core::result::Result::Ok(Self::LeaseRequest(
                            ::planus::TableRead::from_buffer(buffer, field_offset)?,
                        )),
                        14 => ::core::result::Result::Ok(Self::LeaseGrant(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        15 => ::core::result::Result::Ok(Self::Subscribe(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        16 => ::core::result::Result::Ok(Self::Update(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        17 => ::core::result::Result::Ok(Self::Report(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        18 => ::core::result::Result::Ok(Self::Totals(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        19 => ::core::result::Result::Ok(Self::Ping(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        20 => ::core::result::Result::Ok(Self::PingAck(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        21 => ::core::result::Result::Ok(Self::Reject(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        22 => ::core::result::Result::Ok(Self::Resign(::planus::TableRead::from_buffer(
                            buffer,
                            field_offset,
                        )?)),
                        _ => {
                            ::core::result::Result::Err(::planus::errors::ErrorKind::UnknownUnionTag { tag })
                        }
                    }
                }
            }

            impl<'a> ::planus::VectorReadUnion<'a> for BodyRef<'a> {
                const VECTOR_NAME: &'static str = "[BodyRef]";
            }

            /// The table `Frame` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `Frame` in the file `protocol.fbs:201`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Frame {
                /// The field `body` in the table `Frame`
                pub body: ::core::option::Option<self::Body>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Frame {
                fn default() -> Self {
                    Self { body: ::core::default::Default::default() }
                }
            }

            impl Frame {
                /// Creates a [FrameBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> FrameBuilder<()> {
                    FrameBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_body: impl ::planus::WriteAsOptionalUnion<self::Body>,
                ) -> ::planus::Offset<Self> {
                    let prepared_body = field_body.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    if prepared_body.is_some() {
                        table_writer.write_entry::<::planus::Offset<self::Body>>(1);
                    }
                    if prepared_body.is_some() {
                        table_writer.write_entry::<u8>(0);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_body) = prepared_body {
                                object_writer.write::<_, _, 4>(&prepared_body.offset());
                            }
                            if let ::core::option::Option::Some(prepared_body) = prepared_body {
                                object_writer.write::<_, _, 1>(&prepared_body.tag());
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Frame>> for Frame {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Frame> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Frame>> for Frame {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Frame>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Frame> for Frame {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Frame> {
                    Frame::create(builder, &self.body)
                }
            }

            /// Builder for serializing an instance of the [Frame] type.
            ///
            /// Can be created using the [Frame::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct FrameBuilder<State>(State);

            impl FrameBuilder<()> {
                /// Setter for the [`body` field](Frame#structfield.body).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn body<T0>(self, value: T0) -> FrameBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsOptionalUnion<self::Body>,
                {
                    FrameBuilder((value,))
                }

                /// Sets the [`body` field](Frame#structfield.body) to null.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn body_as_null(self) -> FrameBuilder<((),)> {
                    self.body(())
                }
            }

            impl<T0> FrameBuilder<(T0,)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Frame].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Frame>
                where
                    Self: ::planus::WriteAsOffset<Frame>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAsOptionalUnion<self::Body>> ::planus::WriteAs<::planus::Offset<Frame>>
                for FrameBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<Frame>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Frame> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAsOptionalUnion<self::Body>>
                ::planus::WriteAsOptional<::planus::Offset<Frame>> for FrameBuilder<(T0,)>
            {
                type Prepared = ::planus::Offset<Frame>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Frame>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAsOptionalUnion<self::Body>> ::planus::WriteAsOffset<Frame> for FrameBuilder<(T0,)> {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Frame> {
                    let (v0,) = &self.0;
                    Frame::create(builder, v0)
                }
            }

            /// Reference to a deserialized [Frame].
            #[derive(Copy, Clone)]
            pub struct FrameRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> FrameRef<'a> {
                /// Getter for the [`body` field](Frame#structfield.body).
                #[inline]
                pub fn body(&self) -> ::planus::Result<::core::option::Option<self::BodyRef<'a>>> {
                    self.0.access_union(0, "Frame", "body")
                }
            }

            impl<'a> ::core::fmt::Debug for FrameRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("FrameRef");
                    if let ::core::option::Option::Some(field_body) = self.body().transpose() {
                        f.field("body", &field_body);
                    }
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<FrameRef<'a>> for Frame {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: FrameRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        body: if let ::core::option::Option::Some(body) = value.body()? {
                            ::core::option::Option::Some(::core::convert::TryInto::try_into(body)?)
                        } else {
                            ::core::option::Option::None
                        },
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for FrameRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for FrameRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[FrameRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Frame>> for Frame {
                type Value = ::planus::Offset<Frame>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Frame>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for FrameRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[FrameRef]", "read_as_root", 0))
                }
            }
        }
    }
}
