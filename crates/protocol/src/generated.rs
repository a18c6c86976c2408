                /// The field `retries` in the table `ServiceCounters`
                pub retries: u32,
                /// The field `rejected_retries` in the table `ServiceCounters`
                pub rejected_retries: u32,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ServiceCounters {
                fn default() -> Self {
                    Self {
                        service: ::core::default::Default::default(),
                        requests: 0,
                        retries: 0,
                        rejected_retries: 0,
                    }
                }
            }

            impl ServiceCounters {
                /// Creates a [ServiceCountersBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ServiceCountersBuilder<()> {
                    ServiceCountersBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_service: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_requests: impl ::planus::WriteAsDefault<u32, u32>,
                    field_retries: impl ::planus::WriteAsDefault<u32, u32>,
                    field_rejected_retries: impl ::planus::WriteAsDefault<u32, u32>,
                ) -> ::planus::Offset<Self> {
                    let prepared_service = field_service.prepare(builder);
                    let prepared_requests = field_requests.prepare(builder, &0);
                    let prepared_retries = field_retries.prepare(builder, &0);
                    let prepared_rejected_retries = field_rejected_retries.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    if prepared_requests.is_some() {
                        table_writer.write_entry::<u32>(1);
                    }
                    if prepared_retries.is_some() {
                        table_writer.write_entry::<u32>(2);
                    }
                    if prepared_rejected_retries.is_some() {
                        table_writer.write_entry::<u32>(3);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_service);
                            if let ::core::option::Option::Some(prepared_requests) = prepared_requests {
                                object_writer.write::<_, _, 4>(&prepared_requests);
                            }
                            if let ::core::option::Option::Some(prepared_retries) = prepared_retries {
                                object_writer.write::<_, _, 4>(&prepared_retries);
                            }
                            if let ::core::option::Option::Some(prepared_rejected_retries) =
                                prepared_rejected_retries
                            {
                                object_writer.write::<_, _, 4>(&prepared_rejected_retries);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ServiceCounters>> for ServiceCounters {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ServiceCounters> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ServiceCounters>> for ServiceCounters {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ServiceCounters>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ServiceCounters> for ServiceCounters {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ServiceCounters> {
                    ServiceCounters::create(
                        builder,
                        &self.service,
                        self.requests,
                        self.retries,
                        self.rejected_retries,
                    )
                }
            }

            /// Builder for serializing an instance of the [ServiceCounters] type.
            ///
            /// Can be created using the [ServiceCounters::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ServiceCountersBuilder<State>(State);

            impl ServiceCountersBuilder<()> {
                /// Setter for the [`service` field](ServiceCounters#structfield.service).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn service<T0>(self, value: T0) -> ServiceCountersBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    ServiceCountersBuilder((value,))
                }
            }

            impl<T0> ServiceCountersBuilder<(T0,)> {
                /// Setter for the [`requests` field](ServiceCounters#structfield.requests).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn requests<T1>(self, value: T1) -> ServiceCountersBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0,) = self.0;
                    ServiceCountersBuilder((v0, value))
                }

                /// Sets the [`requests` field](ServiceCounters#structfield.requests) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn requests_as_default(self) -> ServiceCountersBuilder<(T0, ::planus::DefaultValue)> {
                    self.requests(::planus::DefaultValue)
                }
            }

            impl<T0, T1> ServiceCountersBuilder<(T0, T1)> {
                /// Setter for the [`retries` field](ServiceCounters#structfield.retries).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn retries<T2>(self, value: T2) -> ServiceCountersBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1) = self.0;
                    ServiceCountersBuilder((v0, v1, value))
                }

                /// Sets the [`retries` field](ServiceCounters#structfield.retries) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn retries_as_default(self) -> ServiceCountersBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.retries(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> ServiceCountersBuilder<(T0, T1, T2)> {
                /// Setter for the [`rejected_retries` field](ServiceCounters#structfield.rejected_retries).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn rejected_retries<T3>(self, value: T3) -> ServiceCountersBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2) = self.0;
                    ServiceCountersBuilder((v0, v1, v2, value))
                }

                /// Sets the [`rejected_retries` field](ServiceCounters#structfield.rejected_retries) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn rejected_retries_as_default(
                    self,
                ) -> ServiceCountersBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.rejected_retries(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> ServiceCountersBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ServiceCounters].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ServiceCounters>
                where
                    Self: ::planus::WriteAsOffset<ServiceCounters>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAsDefault<u32, u32>,
                    T3: ::planus::WriteAsDefault<u32, u32>,
                > ::planus::WriteAs<::planus::Offset<ServiceCounters>>
                for ServiceCountersBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<ServiceCounters>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ServiceCounters> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAsDefault<u32, u32>,
                    T3: ::planus::WriteAsDefault<u32, u32>,
                > ::planus::WriteAsOptional<::planus::Offset<ServiceCounters>>
                for ServiceCountersBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<ServiceCounters>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ServiceCounters>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAsDefault<u32, u32>,
                    T3: ::planus::WriteAsDefault<u32, u32>,
                > ::planus::WriteAsOffset<ServiceCounters> for ServiceCountersBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ServiceCounters> {
                    let (v0, v1, v2, v3) = &self.0;
                    ServiceCounters::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [ServiceCounters].
            #[derive(Copy, Clone)]
            pub struct ServiceCountersRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ServiceCountersRef<'a> {
                /// Getter for the [`service` field](ServiceCounters#structfield.service).
                #[inline]
                pub fn service(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "ServiceCounters", "service")
                }

                /// Getter for the [`requests` field](ServiceCounters#structfield.requests).
                #[inline]
                pub fn requests(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(1, "ServiceCounters", "requests")?.unwrap_or(0))
                }

                /// Getter for the [`retries` field](ServiceCounters#structfield.retries).
                #[inline]
                pub fn retries(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(2, "ServiceCounters", "retries")?.unwrap_or(0))
                }

                /// Getter for the [`rejected_retries` field](ServiceCounters#structfield.rejected_retries).
                #[inline]
                pub fn rejected_retries(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(
                        self.0.access(3, "ServiceCounters", "rejected_retries")?.unwrap_or(0),
                    )
                }
            }

            impl<'a> ::core::fmt::Debug for ServiceCountersRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ServiceCountersRef");
                    f.field("service", &self.service());
                    f.field("requests", &self.requests());
                    f.field("retries", &self.retries());
                    f.field("rejected_retries", &self.rejected_retries());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ServiceCountersRef<'a>> for ServiceCounters {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ServiceCountersRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        service: ::core::convert::Into::into(value.service()?),
                        requests: ::core::convert::TryInto::try_into(value.requests()?)?,
                        retries: ::core::convert::TryInto::try_into(value.retries()?)?,
                        rejected_retries: ::core::convert::TryInto::try_into(value.rejected_retries()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ServiceCountersRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ServiceCountersRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location(
                            "[ServiceCountersRef]",
                            "get",
                            buffer.offset_from_start,
                        )
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ServiceCounters>> for ServiceCounters {
                type Value = ::planus::Offset<ServiceCounters>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ServiceCounters>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ServiceCountersRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ServiceCountersRef]", "read_as_root", 0)
                    })
                }
            }

            ///  What a subtree has in flight at a server, which is named by the hash of its id. All zeros remove the entry.
            ///
            /// Generated from these locations:
            /// * Struct `ServerLoad` in the file `protocol.fbs:119`
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
            pub struct ServerLoad {
                /// The field `server` in the struct `ServerLoad`
                pub server: u64,

                /// The field `running` in the struct `ServerLoad`
                pub running: u32,

                /// The field `waiting` in the struct `ServerLoad`
                pub waiting: u32,

                /// The field `prompt_tokens` in the struct `ServerLoad`
                pub prompt_tokens: u32,

                /// The field `failures` in the struct `ServerLoad`
                pub failures: u32,
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for ServerLoad {
                const ALIGNMENT: usize = 8;
                const SIZE: usize = 24;
            }

            #[allow(clippy::identity_op)]
            impl ::planus::WriteAsPrimitive<ServerLoad> for ServerLoad {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    let (cur, cursor) = cursor.split::<8, 16>();
                    self.server.write(cur, buffer_position - 0);
                    let (cur, cursor) = cursor.split::<4, 12>();
                    self.running.write(cur, buffer_position - 8);
                    let (cur, cursor) = cursor.split::<4, 8>();
                    self.waiting.write(cur, buffer_position - 12);
                    let (cur, cursor) = cursor.split::<4, 4>();
                    self.prompt_tokens.write(cur, buffer_position - 16);
                    let (cur, cursor) = cursor.split::<4, 0>();
                    self.failures.write(cur, buffer_position - 20);
                    cursor.finish([]);
                }
            }

            impl ::planus::WriteAsOffset<ServerLoad> for ServerLoad {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ServerLoad> {
                    unsafe {
                        builder.write_with(24, 7, |buffer_position, bytes| {
                            let bytes = bytes.as_mut_ptr();

                            ::planus::WriteAsPrimitive::write(
                                self,
                                ::planus::Cursor::new(
                                    &mut *(bytes as *mut [::core::mem::MaybeUninit<u8>; 24]),
                                ),
                                buffer_position,
                            );
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<ServerLoad> for ServerLoad {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self {
                    *self
                }
            }

            impl ::planus::WriteAsOptional<ServerLoad> for ServerLoad {
                type Prepared = Self;
                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<Self> {
                    ::core::option::Option::Some(*self)
                }
            }

            /// Reference to a deserialized [ServerLoad].
            #[derive(Copy, Clone)]
            pub struct ServerLoadRef<'a>(::planus::ArrayWithStartOffset<'a, 24>);

            impl<'a> ServerLoadRef<'a> {
                /// Getter for the [`server` field](ServerLoad#structfield.server).
                pub fn server(&self) -> u64 {
                    let buffer = self.0.advance_as_array::<8>(0).unwrap();

                    u64::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`running` field](ServerLoad#structfield.running).
                pub fn running(&self) -> u32 {
                    let buffer = self.0.advance_as_array::<4>(8).unwrap();

                    u32::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`waiting` field](ServerLoad#structfield.waiting).
                pub fn waiting(&self) -> u32 {
                    let buffer = self.0.advance_as_array::<4>(12).unwrap();

                    u32::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`prompt_tokens` field](ServerLoad#structfield.prompt_tokens).
                pub fn prompt_tokens(&self) -> u32 {
                    let buffer = self.0.advance_as_array::<4>(16).unwrap();

                    u32::from_le_bytes(*buffer.as_array())
                }

                /// Getter for the [`failures` field](ServerLoad#structfield.failures).
                pub fn failures(&self) -> u32 {
                    let buffer = self.0.advance_as_array::<4>(20).unwrap();

                    u32::from_le_bytes(*buffer.as_array())
                }
            }

            impl<'a> ::core::fmt::Debug for ServerLoadRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ServerLoadRef");
                    f.field("server", &self.server());
                    f.field("running", &self.running());
                    f.field("waiting", &self.waiting());
                    f.field("prompt_tokens", &self.prompt_tokens());
                    f.field("failures", &self.failures());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::From<::planus::ArrayWithStartOffset<'a, 24>> for ServerLoadRef<'a> {
                fn from(array: ::planus::ArrayWithStartOffset<'a, 24>) -> Self {
                    Self(array)
                }
            }

            impl<'a> ::core::convert::From<ServerLoadRef<'a>> for ServerLoad {
                #[allow(unreachable_code)]
                fn from(value: ServerLoadRef<'a>) -> Self {
                    Self {
                        server: value.server(),
                        running: value.running(),
                        waiting: value.waiting(),
                        prompt_tokens: value.prompt_tokens(),
                        failures: value.failures(),
                    }
                }
            }

            impl<'a, 'b> ::core::cmp::PartialEq<ServerLoadRef<'a>> for ServerLoadRef<'b> {
                fn eq(&self, other: &ServerLoadRef<'_>) -> bool {
                    self.server() == other.server()
                        && self.running() == other.running()
                        && self.waiting() == other.waiting()
                        && self.prompt_tokens() == other.prompt_tokens()
                        && self.failures() == other.failures()
                }
            }

            impl<'a> ::core::cmp::Eq for ServerLoadRef<'a> {}
            impl<'a, 'b> ::core::cmp::PartialOrd<ServerLoadRef<'a>> for ServerLoadRef<'b> {
                fn partial_cmp(
                    &self,
                    other: &ServerLoadRef<'_>,
                ) -> ::core::option::Option<::core::cmp::Ordering> {
                    ::core::option::Option::Some(::core::cmp::Ord::cmp(self, other))
                }
            }

            impl<'a> ::core::cmp::Ord for ServerLoadRef<'a> {
                fn cmp(&self, other: &ServerLoadRef<'_>) -> ::core::cmp::Ordering {
                    self.server()
                        .cmp(&other.server())
                        .then_with(|| self.running().cmp(&other.running()))
                        .then_with(|| self.waiting().cmp(&other.waiting()))
                        .then_with(|| self.prompt_tokens().cmp(&other.prompt_tokens()))
                        .then_with(|| self.failures().cmp(&other.failures()))
                }
            }

            impl<'a> ::core::hash::Hash for ServerLoadRef<'a> {
                fn hash<H: ::core::hash::Hasher>(&self, state: &mut H) {
                    self.server().hash(state);
                    self.running().hash(state);
                    self.waiting().hash(state);
                    self.prompt_tokens().hash(state);
                    self.failures().hash(state);
                }
            }

            impl<'a> ::planus::TableRead<'a> for ServerLoadRef<'a> {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let buffer = buffer.advance_as_array::<24>(offset)?;
                    ::core::result::Result::Ok(Self(buffer))
                }
            }

            impl<'a> ::planus::VectorRead<'a> for ServerLoadRef<'a> {
                const STRIDE: usize = 24;

                #[inline]
                unsafe fn from_buffer(buffer: ::planus::SliceWithStartOffset<'a>, offset: usize) -> Self {
                    Self(unsafe { buffer.unchecked_advance_as_array(offset) })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<ServerLoad> for ServerLoad {
                const STRIDE: usize = 24;

                type Value = ServerLoad;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> Self::Value {
                    *self
                }

                #[inline]
                unsafe fn write_values(
                    values: &[ServerLoad],
                    bytes: *mut ::core::mem::MaybeUninit<u8>,
                    buffer_position: u32,
                ) {
                    let bytes = bytes as *mut [::core::mem::MaybeUninit<u8>; 24];
                    for (i, v) in ::core::iter::Iterator::enumerate(values.iter()) {
                        ::planus::WriteAsPrimitive::write(
                            v,
                            ::planus::Cursor::new(unsafe { &mut *bytes.add(i) }),
                            buffer_position - (24 * i) as u32,
                        );
                    }
                }
            }

            ///  Which monitors cannot reach a proxy.
            ///
            /// Generated from these locations:
            /// * Table `Suspicion` in the file `protocol.fbs:122`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Suspicion {
                /// The field `suspect` in the table `Suspicion`
                pub suspect: ::planus::alloc::string::String,
                /// The field `monitors` in the table `Suspicion`
                pub monitors: ::planus::alloc::vec::Vec<::planus::alloc::string::String>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Suspicion {
                fn default() -> Self {
                    Self {
                        suspect: ::core::default::Default::default(),
                        monitors: ::core::default::Default::default(),
                    }
                }
            }

            impl Suspicion {
                /// Creates a [SuspicionBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> SuspicionBuilder<()> {
                    SuspicionBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_suspect: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_monitors: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_suspect = field_suspect.prepare(builder);
                    let prepared_monitors = field_monitors.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<str>]>>(1);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_suspect);
                            object_writer.write::<_, _, 4>(&prepared_monitors);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Suspicion>> for Suspicion {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Suspicion> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Suspicion>> for Suspicion {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Suspicion>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Suspicion> for Suspicion {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Suspicion> {
                    Suspicion::create(builder, &self.suspect, &self.monitors)
                }
            }

            /// Builder for serializing an instance of the [Suspicion] type.
            ///
            /// Can be created using the [Suspicion::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct SuspicionBuilder<State>(State);

            impl SuspicionBuilder<()> {
                /// Setter for the [`suspect` field](Suspicion#structfield.suspect).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn suspect<T0>(self, value: T0) -> SuspicionBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    SuspicionBuilder((value,))
                }
            }

            impl<T0> SuspicionBuilder<(T0,)> {
                /// Setter for the [`monitors` field](Suspicion#structfield.monitors).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn monitors<T1>(self, value: T1) -> SuspicionBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                {
                    let (v0,) = self.0;
                    SuspicionBuilder((v0, value))
                }
            }

            impl<T0, T1> SuspicionBuilder<(T0, T1)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Suspicion].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Suspicion>
                where
                    Self: ::planus::WriteAsOffset<Suspicion>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                > ::planus::WriteAs<::planus::Offset<Suspicion>> for SuspicionBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Suspicion>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Suspicion> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Suspicion>> for SuspicionBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Suspicion>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Suspicion>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                > ::planus::WriteAsOffset<Suspicion> for SuspicionBuilder<(T0, T1)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Suspicion> {
                    let (v0, v1) = &self.0;
                    Suspicion::create(builder, v0, v1)
                }
            }

            /// Reference to a deserialized [Suspicion].
            #[derive(Copy, Clone)]
            pub struct SuspicionRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> SuspicionRef<'a> {
                /// Getter for the [`suspect` field](Suspicion#structfield.suspect).
                #[inline]
                pub fn suspect(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "Suspicion", "suspect")
                }

                /// Getter for the [`monitors` field](Suspicion#structfield.monitors).
                #[inline]
                pub fn monitors(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<&'a ::core::primitive::str>>>
                {
                    self.0.access_required(1, "Suspicion", "monitors")
                }
            }

            impl<'a> ::core::fmt::Debug for SuspicionRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("SuspicionRef");
                    f.field("suspect", &self.suspect());
                    f.field("monitors", &self.monitors());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<SuspicionRef<'a>> for Suspicion {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: SuspicionRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        suspect: ::core::convert::Into::into(value.suspect()?),
                        monitors: value.monitors()?.to_vec_result()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for SuspicionRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for SuspicionRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[SuspicionRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Suspicion>> for Suspicion {
                type Value = ::planus::Offset<Suspicion>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Suspicion>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for SuspicionRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[SuspicionRef]", "read_as_root", 0))
                }
            }

            ///  What a child reports of its whole subtree. The first report on a connection is complete. Later ones are a `delta`:
            ///  a suspicion without monitors and counters of zero remove an entry. `depth` is the number of levels below the
            ///  sender, which grows without bound where the tree has a loop.
            ///
            /// Generated from these locations:
            /// * Table `Report` in the file `protocol.fbs:127`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Report {
                /// The field `delta` in the table `Report`
                pub delta: bool,
                /// The field `depth` in the table `Report`
                pub depth: u8,
                /// The field `endpoints` in the table `Report`
                pub endpoints: ::planus::alloc::vec::Vec<self::ProxyEndpoint>,
                /// The field `removed_endpoints` in the table `Report`
                pub removed_endpoints: ::planus::alloc::vec::Vec<::planus::alloc::string::String>,
                /// The field `suspicions` in the table `Report`
                pub suspicions: ::planus::alloc::vec::Vec<self::Suspicion>,
                /// The field `proxies` in the table `Report`
                pub proxies: u32,
                /// The field `services` in the table `Report`
                pub services: ::planus::alloc::vec::Vec<self::ServiceCounters>,
                /// The field `servers` in the table `Report`
                pub servers: ::planus::alloc::vec::Vec<self::ServerLoad>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Report {
                fn default() -> Self {
                    Self {
                        delta: false,
                        depth: 0,
                        endpoints: ::core::default::Default::default(),
                        removed_endpoints: ::core::default::Default::default(),
                        suspicions: ::core::default::Default::default(),
                        proxies: 0,
                        services: ::core::default::Default::default(),
                        servers: ::core::default::Default::default(),
                    }
                }
            }

            impl Report {
                /// Creates a [ReportBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ReportBuilder<()> {
                    ReportBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_delta: impl ::planus::WriteAsDefault<bool, bool>,
                    field_depth: impl ::planus::WriteAsDefault<u8, u8>,
                    field_endpoints: impl ::planus::WriteAs<
                        ::planus::Offset<[::planus::Offset<self::ProxyEndpoint>]>,
                    >,
                    field_removed_endpoints: impl ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                    field_suspicions: impl ::planus::WriteAs<
                        ::planus::Offset<[::planus::Offset<self::Suspicion>]>,
                    >,
                    field_proxies: impl ::planus::WriteAsDefault<u32, u32>,
                    field_services: impl ::planus::WriteAs<
                        ::planus::Offset<[::planus::Offset<self::ServiceCounters>]>,
                    >,
                    field_servers: impl ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_delta = field_delta.prepare(builder, &false);
                    let prepared_depth = field_depth.prepare(builder, &0);
                    let prepared_endpoints = field_endpoints.prepare(builder);
                    let prepared_removed_endpoints = field_removed_endpoints.prepare(builder);
                    let prepared_suspicions = field_suspicions.prepare(builder);
                    let prepared_proxies = field_proxies.prepare(builder, &0);
                    let prepared_services = field_services.prepare(builder);
                    let prepared_servers = field_servers.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<20> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::ProxyEndpoint>]>>(2);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<str>]>>(3);
                    table_writer.write_entry::<::planus::Offset<[::planus::Offset<self::Suspicion>]>>(4);
                    if prepared_proxies.is_some() {
                        table_writer.write_entry::<u32>(5);
                    }
                    table_writer
                        .write_entry::<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>(6);
                    table_writer.write_entry::<::planus::Offset<[self::ServerLoad]>>(7);
                    if prepared_delta.is_some() {
                        table_writer.write_entry::<bool>(0);
                    }
                    if prepared_depth.is_some() {
                        table_writer.write_entry::<u8>(1);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_endpoints);
                            object_writer.write::<_, _, 4>(&prepared_removed_endpoints);
                            object_writer.write::<_, _, 4>(&prepared_suspicions);
                            if let ::core::option::Option::Some(prepared_proxies) = prepared_proxies {
                                object_writer.write::<_, _, 4>(&prepared_proxies);
                            }
                            object_writer.write::<_, _, 4>(&prepared_services);
                            object_writer.write::<_, _, 4>(&prepared_servers);
                            if let ::core::option::Option::Some(prepared_delta) = prepared_delta {
                                object_writer.write::<_, _, 1>(&prepared_delta);
                            }
                            if let ::core::option::Option::Some(prepared_depth) = prepared_depth {
                                object_writer.write::<_, _, 1>(&prepared_depth);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Report>> for Report {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Report> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Report>> for Report {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Report>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Report> for Report {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Report> {
                    Report::create(
                        builder,
                        self.delta,
                        self.depth,
                        &self.endpoints,
                        &self.removed_endpoints,
                        &self.suspicions,
                        self.proxies,
                        &self.services,
                        &self.servers,
                    )
                }
            }

            /// Builder for serializing an instance of the [Report] type.
            ///
            /// Can be created using the [Report::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ReportBuilder<State>(State);

            impl ReportBuilder<()> {
                /// Setter for the [`delta` field](Report#structfield.delta).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn delta<T0>(self, value: T0) -> ReportBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<bool, bool>,
                {
                    ReportBuilder((value,))
                }

                /// Sets the [`delta` field](Report#structfield.delta) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn delta_as_default(self) -> ReportBuilder<(::planus::DefaultValue,)> {
                    self.delta(::planus::DefaultValue)
                }
            }

            impl<T0> ReportBuilder<(T0,)> {
                /// Setter for the [`depth` field](Report#structfield.depth).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn depth<T1>(self, value: T1) -> ReportBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u8, u8>,
                {
                    let (v0,) = self.0;
                    ReportBuilder((v0, value))
                }

                /// Sets the [`depth` field](Report#structfield.depth) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn depth_as_default(self) -> ReportBuilder<(T0, ::planus::DefaultValue)> {
                    self.depth(::planus::DefaultValue)
                }
            }

            impl<T0, T1> ReportBuilder<(T0, T1)> {
                /// Setter for the [`endpoints` field](Report#structfield.endpoints).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn endpoints<T2>(self, value: T2) -> ReportBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ProxyEndpoint>]>>,
                {
                    let (v0, v1) = self.0;
                    ReportBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ReportBuilder<(T0, T1, T2)> {
                /// Setter for the [`removed_endpoints` field](Report#structfield.removed_endpoints).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn removed_endpoints<T3>(self, value: T3) -> ReportBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                {
                    let (v0, v1, v2) = self.0;
                    ReportBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ReportBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`suspicions` field](Report#structfield.suspicions).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn suspicions<T4>(self, value: T4) -> ReportBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Suspicion>]>>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    ReportBuilder((v0, v1, v2, v3, value))
                }
            }

            impl<T0, T1, T2, T3, T4> ReportBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`proxies` field](Report#structfield.proxies).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn proxies<T5>(self, value: T5) -> ReportBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    ReportBuilder((v0, v1, v2, v3, v4, value))
                }

                /// Sets the [`proxies` field](Report#structfield.proxies) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn proxies_as_default(
                    self,
                ) -> ReportBuilder<(T0, T1, T2, T3, T4, ::planus::DefaultValue)> {
                    self.proxies(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5> ReportBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Setter for the [`services` field](Report#structfield.services).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn services<T6>(self, value: T6) -> ReportBuilder<(T0, T1, T2, T3, T4, T5, T6)>
                where
                    T6: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                {
                    let (v0, v1, v2, v3, v4, v5) = self.0;
                    ReportBuilder((v0, v1, v2, v3, v4, v5, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6> ReportBuilder<(T0, T1, T2, T3, T4, T5, T6)> {
                /// Setter for the [`servers` field](Report#structfield.servers).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn servers<T7>(self, value: T7) -> ReportBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
                where
                    T7: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                {
                    let (v0, v1, v2, v3, v4, v5, v6) = self.0;
                    ReportBuilder((v0, v1, v2, v3, v4, v5, v6, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6, T7> ReportBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Report].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Report>
                where
                    Self: ::planus::WriteAsOffset<Report>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<bool, bool>,
                    T1: ::planus::WriteAsDefault<u8, u8>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ProxyEndpoint>]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Suspicion>]>>,
                    T5: ::planus::WriteAsDefault<u32, u32>,
                    T6: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                    T7: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                > ::planus::WriteAs<::planus::Offset<Report>>
                for ReportBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
            {
                type Prepared = ::planus::Offset<Report>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Report> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<bool, bool>,
                    T1: ::planus::WriteAsDefault<u8, u8>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ProxyEndpoint>]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Suspicion>]>>,
                    T5: ::planus::WriteAsDefault<u32, u32>,
                    T6: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                    T7: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Report>>
                for ReportBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
            {
                type Prepared = ::planus::Offset<Report>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Report>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<bool, bool>,
                    T1: ::planus::WriteAsDefault<u8, u8>,
                    T2: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ProxyEndpoint>]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[::planus::Offset<str>]>>,
                    T4: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::Suspicion>]>>,
                    T5: ::planus::WriteAsDefault<u32, u32>,
                    T6: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                    T7: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                > ::planus::WriteAsOffset<Report> for ReportBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Report> {
                    let (v0, v1, v2, v3, v4, v5, v6, v7) = &self.0;
                    Report::create(builder, v0, v1, v2, v3, v4, v5, v6, v7)
                }
            }

            /// Reference to a deserialized [Report].
            #[derive(Copy, Clone)]
            pub struct ReportRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ReportRef<'a> {
                /// Getter for the [`delta` field](Report#structfield.delta).
                #[inline]
                pub fn delta(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(0, "Report", "delta")?.unwrap_or(false))
                }

                /// Getter for the [`depth` field](Report#structfield.depth).
                #[inline]
                pub fn depth(&self) -> ::planus::Result<u8> {
                    ::core::result::Result::Ok(self.0.access(1, "Report", "depth")?.unwrap_or(0))
                }

                /// Getter for the [`endpoints` field](Report#structfield.endpoints).
                #[inline]
                pub fn endpoints(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::ProxyEndpointRef<'a>>>>
                {
                    self.0.access_required(2, "Report", "endpoints")
                }

                /// Getter for the [`removed_endpoints` field](Report#structfield.removed_endpoints).
                #[inline]
                pub fn removed_endpoints(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<&'a ::core::primitive::str>>>
                {
                    self.0.access_required(3, "Report", "removed_endpoints")
                }

                /// Getter for the [`suspicions` field](Report#structfield.suspicions).
                #[inline]
                pub fn suspicions(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::SuspicionRef<'a>>>>
                {
                    self.0.access_required(4, "Report", "suspicions")
                }

                /// Getter for the [`proxies` field](Report#structfield.proxies).
                #[inline]
                pub fn proxies(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(5, "Report", "proxies")?.unwrap_or(0))
                }

                /// Getter for the [`services` field](Report#structfield.services).
                #[inline]
                pub fn services(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::ServiceCountersRef<'a>>>>
                {
                    self.0.access_required(6, "Report", "services")
                }

                /// Getter for the [`servers` field](Report#structfield.servers).
                #[inline]
                pub fn servers(&self) -> ::planus::Result<::planus::Vector<'a, self::ServerLoadRef<'a>>> {
                    self.0.access_required(7, "Report", "servers")
                }
            }

            impl<'a> ::core::fmt::Debug for ReportRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ReportRef");
                    f.field("delta", &self.delta());
                    f.field("depth", &self.depth());
                    f.field("endpoints", &self.endpoints());
                    f.field("removed_endpoints", &self.removed_endpoints());
                    f.field("suspicions", &self.suspicions());
                    f.field("proxies", &self.proxies());
                    f.field("services", &self.services());
                    f.field("servers", &self.servers());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ReportRef<'a>> for Report {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ReportRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        delta: ::core::convert::TryInto::try_into(value.delta()?)?,
                        depth: ::core::convert::TryInto::try_into(value.depth()?)?,
                        endpoints: value.endpoints()?.to_vec_result()?,
                        removed_endpoints: value.removed_endpoints()?.to_vec_result()?,
                        suspicions: value.suspicions()?.to_vec_result()?,
                        proxies: ::core::convert::TryInto::try_into(value.proxies()?)?,
                        services: value.services()?.to_vec_result()?,
                        servers: value.servers()?.to_vec()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ReportRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ReportRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ReportRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Report>> for Report {
                type Value = ::planus::Offset<Report>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Report>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ReportRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[ReportRef]", "read_as_root", 0))
                }
            }

            ///  The sums over the whole system, or over the part that the sender reaches where `complete` is false. The first
            ///  totals on a connection hold all, later ones are a `delta`. `origin` is the hash of the name of the node that made
            ///  the sums, `hops` the number of nodes that passed them on.
            ///
            /// Generated from these locations:
            /// * Table `Totals` in the file `protocol.fbs:141`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Totals {
                /// The field `complete` in the table `Totals`
                pub complete: bool,
                /// The field `delta` in the table `Totals`
                pub delta: bool,
                /// The field `hops` in the table `Totals`
                pub hops: u8,
                /// The field `origin` in the table `Totals`
                pub origin: u64,
                /// The field `proxies` in the table `Totals`
                pub proxies: u32,
                /// The field `services` in the table `Totals`
                pub services: ::planus::alloc::vec::Vec<self::ServiceCounters>,
                /// The field `servers` in the table `Totals`
                pub servers: ::planus::alloc::vec::Vec<self::ServerLoad>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Totals {
                fn default() -> Self {
                    Self {
                        complete: false,
                        delta: false,
                        hops: 0,
                        origin: 0,
                        proxies: 0,
                        services: ::core::default::Default::default(),
                        servers: ::core::default::Default::default(),
                    }
                }
            }

            impl Totals {
                /// Creates a [TotalsBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> TotalsBuilder<()> {
                    TotalsBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_complete: impl ::planus::WriteAsDefault<bool, bool>,
                    field_delta: impl ::planus::WriteAsDefault<bool, bool>,
                    field_hops: impl ::planus::WriteAsDefault<u8, u8>,
                    field_origin: impl ::planus::WriteAsDefault<u64, u64>,
                    field_proxies: impl ::planus::WriteAsDefault<u32, u32>,
                    field_services: impl ::planus::WriteAs<
                        ::planus::Offset<[::planus::Offset<self::ServiceCounters>]>,
                    >,
                    field_servers: impl ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_complete = field_complete.prepare(builder, &false);
                    let prepared_delta = field_delta.prepare(builder, &false);
                    let prepared_hops = field_hops.prepare(builder, &0);
                    let prepared_origin = field_origin.prepare(builder, &0);
                    let prepared_proxies = field_proxies.prepare(builder, &0);
                    let prepared_services = field_services.prepare(builder);
                    let prepared_servers = field_servers.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<18> =
                        ::core::default::Default::default();
                    if prepared_origin.is_some() {
                        table_writer.write_entry::<u64>(3);
                    }
                    if prepared_proxies.is_some() {
                        table_writer.write_entry::<u32>(4);
                    }
                    table_writer
                        .write_entry::<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>(5);
                    table_writer.write_entry::<::planus::Offset<[self::ServerLoad]>>(6);
                    if prepared_complete.is_some() {
                        table_writer.write_entry::<bool>(0);
                    }
                    if prepared_delta.is_some() {
                        table_writer.write_entry::<bool>(1);
                    }
                    if prepared_hops.is_some() {
                        table_writer.write_entry::<u8>(2);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_origin) = prepared_origin {
                                object_writer.write::<_, _, 8>(&prepared_origin);
                            }
                            if let ::core::option::Option::Some(prepared_proxies) = prepared_proxies {
                                object_writer.write::<_, _, 4>(&prepared_proxies);
                            }
                            object_writer.write::<_, _, 4>(&prepared_services);
                            object_writer.write::<_, _, 4>(&prepared_servers);
                            if let ::core::option::Option::Some(prepared_complete) = prepared_complete {
                                object_writer.write::<_, _, 1>(&prepared_complete);
                            }
                            if let ::core::option::Option::Some(prepared_delta) = prepared_delta {
                                object_writer.write::<_, _, 1>(&prepared_delta);
                            }
                            if let ::core::option::Option::Some(prepared_hops) = prepared_hops {
                                object_writer.write::<_, _, 1>(&prepared_hops);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Totals>> for Totals {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Totals> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Totals>> for Totals {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Totals>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Totals> for Totals {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Totals> {
                    Totals::create(
                        builder,
                        self.complete,
                        self.delta,
                        self.hops,
                        self.origin,
                        self.proxies,
                        &self.services,
                        &self.servers,
                    )
                }
            }

            /// Builder for serializing an instance of the [Totals] type.
            ///
            /// Can be created using the [Totals::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct TotalsBuilder<State>(State);

            impl TotalsBuilder<()> {
                /// Setter for the [`complete` field](Totals#structfield.complete).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn complete<T0>(self, value: T0) -> TotalsBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<bool, bool>,
                {
                    TotalsBuilder((value,))
                }

                /// Sets the [`complete` field](Totals#structfield.complete) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn complete_as_default(self) -> TotalsBuilder<(::planus::DefaultValue,)> {
                    self.complete(::planus::DefaultValue)
                }
            }

            impl<T0> TotalsBuilder<(T0,)> {
                /// Setter for the [`delta` field](Totals#structfield.delta).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn delta<T1>(self, value: T1) -> TotalsBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0,) = self.0;
                    TotalsBuilder((v0, value))
                }

                /// Sets the [`delta` field](Totals#structfield.delta) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn delta_as_default(self) -> TotalsBuilder<(T0, ::planus::DefaultValue)> {
                    self.delta(::planus::DefaultValue)
                }
            }

            impl<T0, T1> TotalsBuilder<(T0, T1)> {
                /// Setter for the [`hops` field](Totals#structfield.hops).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn hops<T2>(self, value: T2) -> TotalsBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u8, u8>,
                {
                    let (v0, v1) = self.0;
                    TotalsBuilder((v0, v1, value))
                }

                /// Sets the [`hops` field](Totals#structfield.hops) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn hops_as_default(self) -> TotalsBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.hops(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> TotalsBuilder<(T0, T1, T2)> {
                /// Setter for the [`origin` field](Totals#structfield.origin).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn origin<T3>(self, value: T3) -> TotalsBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1, v2) = self.0;
                    TotalsBuilder((v0, v1, v2, value))
                }

                /// Sets the [`origin` field](Totals#structfield.origin) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn origin_as_default(self) -> TotalsBuilder<(T0, T1, T2, ::planus::DefaultValue)> {
                    self.origin(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3> TotalsBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`proxies` field](Totals#structfield.proxies).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn proxies<T4>(self, value: T4) -> TotalsBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    TotalsBuilder((v0, v1, v2, v3, value))
                }

                /// Sets the [`proxies` field](Totals#structfield.proxies) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn proxies_as_default(self) -> TotalsBuilder<(T0, T1, T2, T3, ::planus::DefaultValue)> {
                    self.proxies(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4> TotalsBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`services` field](Totals#structfield.services).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn services<T5>(self, value: T5) -> TotalsBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    TotalsBuilder((v0, v1, v2, v3, v4, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5> TotalsBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Setter for the [`servers` field](Totals#structfield.servers).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn servers<T6>(self, value: T6) -> TotalsBuilder<(T0, T1, T2, T3, T4, T5, T6)>
                where
                    T6: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                {
                    let (v0, v1, v2, v3, v4, v5) = self.0;
                    TotalsBuilder((v0, v1, v2, v3, v4, v5, value))
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6> TotalsBuilder<(T0, T1, T2, T3, T4, T5, T6)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Totals].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Totals>
                where
                    Self: ::planus::WriteAsOffset<Totals>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<bool, bool>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u8, u8>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAsDefault<u32, u32>,
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                    T6: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                > ::planus::WriteAs<::planus::Offset<Totals>>
                for TotalsBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                type Prepared = ::planus::Offset<Totals>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Totals> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<bool, bool>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u8, u8>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAsDefault<u32, u32>,
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                    T6: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                > ::planus::WriteAsOptional<::planus::Offset<Totals>>
                for TotalsBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                type Prepared = ::planus::Offset<Totals>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Totals>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<bool, bool>,
                    T1: ::planus::WriteAsDefault<bool, bool>,
                    T2: ::planus::WriteAsDefault<u8, u8>,
                    T3: ::planus::WriteAsDefault<u64, u64>,
                    T4: ::planus::WriteAsDefault<u32, u32>,
                    T5: ::planus::WriteAs<::planus::Offset<[::planus::Offset<self::ServiceCounters>]>>,
                    T6: ::planus::WriteAs<::planus::Offset<[self::ServerLoad]>>,
                > ::planus::WriteAsOffset<Totals> for TotalsBuilder<(T0, T1, T2, T3, T4, T5, T6)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Totals> {
                    let (v0, v1, v2, v3, v4, v5, v6) = &self.0;
                    Totals::create(builder, v0, v1, v2, v3, v4, v5, v6)
                }
            }

            /// Reference to a deserialized [Totals].
            #[derive(Copy, Clone)]
            pub struct TotalsRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> TotalsRef<'a> {
                /// Getter for the [`complete` field](Totals#structfield.complete).
                #[inline]
                pub fn complete(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(0, "Totals", "complete")?.unwrap_or(false))
                }

                /// Getter for the [`delta` field](Totals#structfield.delta).
                #[inline]
                pub fn delta(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(self.0.access(1, "Totals", "delta")?.unwrap_or(false))
                }

                /// Getter for the [`hops` field](Totals#structfield.hops).
                #[inline]
                pub fn hops(&self) -> ::planus::Result<u8> {
                    ::core::result::Result::Ok(self.0.access(2, "Totals", "hops")?.unwrap_or(0))
                }

                /// Getter for the [`origin` field](Totals#structfield.origin).
                #[inline]
                pub fn origin(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(3, "Totals", "origin")?.unwrap_or(0))
                }

                /// Getter for the [`proxies` field](Totals#structfield.proxies).
                #[inline]
                pub fn proxies(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(4, "Totals", "proxies")?.unwrap_or(0))
                }

                /// Getter for the [`services` field](Totals#structfield.services).
                #[inline]
                pub fn services(
                    &self,
                ) -> ::planus::Result<::planus::Vector<'a, ::planus::Result<self::ServiceCountersRef<'a>>>>
                {
                    self.0.access_required(5, "Totals", "services")
                }

                /// Getter for the [`servers` field](Totals#structfield.servers).
                #[inline]
                pub fn servers(&self) -> ::planus::Result<::planus::Vector<'a, self::ServerLoadRef<'a>>> {
                    self.0.access_required(6, "Totals", "servers")
                }
            }

            impl<'a> ::core::fmt::Debug for TotalsRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("TotalsRef");
                    f.field("complete", &self.complete());
                    f.field("delta", &self.delta());
                    f.field("hops", &self.hops());
                    f.field("origin", &self.origin());
                    f.field("proxies", &self.proxies());
                    f.field("services", &self.services());
                    f.field("servers", &self.servers());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<TotalsRef<'a>> for Totals {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: TotalsRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        complete: ::core::convert::TryInto::try_into(value.complete()?)?,
                        delta: ::core::convert::TryInto::try_into(value.delta()?)?,
                        hops: ::core::convert::TryInto::try_into(value.hops()?)?,
                        origin: ::core::convert::TryInto::try_into(value.origin()?)?,
                        proxies: ::core::convert::TryInto::try_into(value.proxies()?)?,
                        services: value.services()?.to_vec_result()?,
                        servers: value.servers()?.to_vec()?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for TotalsRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for TotalsRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[TotalsRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Totals>> for Totals {
                type Value = ::planus::Offset<Totals>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Totals>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for TotalsRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[TotalsRef]", "read_as_root", 0))
                }
            }

            /// The table `Ping` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `Ping` in the file `protocol.fbs:153`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Ping {
                /// The field `name` in the table `Ping`
                pub name: ::planus::alloc::string::String,
                /// The field `sequence` in the table `Ping`
                pub sequence: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Ping {
                fn default() -> Self {
                    Self { name: ::core::default::Default::default(), sequence: 0 }
                }
            }

            impl Ping {
                /// Creates a [PingBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> PingBuilder<()> {
                    PingBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_name: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_sequence: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_name = field_name.prepare(builder);
                    let prepared_sequence = field_sequence.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    if prepared_sequence.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    table_writer.write_entry::<::planus::Offset<str>>(0);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_sequence) = prepared_sequence {
                                object_writer.write::<_, _, 8>(&prepared_sequence);
                            }
                            object_writer.write::<_, _, 4>(&prepared_name);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Ping>> for Ping {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Ping> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Ping>> for Ping {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Ping>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Ping> for Ping {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Ping> {
                    Ping::create(builder, &self.name, self.sequence)
                }
            }

            /// Builder for serializing an instance of the [Ping] type.
            ///
            /// Can be created using the [Ping::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct PingBuilder<State>(State);

            impl PingBuilder<()> {
                /// Setter for the [`name` field](Ping#structfield.name).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn name<T0>(self, value: T0) -> PingBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    PingBuilder((value,))
                }
            }

            impl<T0> PingBuilder<(T0,)> {
                /// Setter for the [`sequence` field](Ping#structfield.sequence).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn sequence<T1>(self, value: T1) -> PingBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    PingBuilder((v0, value))
                }

                /// Sets the [`sequence` field](Ping#structfield.sequence) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn sequence_as_default(self) -> PingBuilder<(T0, ::planus::DefaultValue)> {
                    self.sequence(::planus::DefaultValue)
                }
            }

            impl<T0, T1> PingBuilder<(T0, T1)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Ping].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Ping>
                where
                    Self: ::planus::WriteAsOffset<Ping>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAs<::planus::Offset<Ping>> for PingBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Ping>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Ping> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAsOptional<::planus::Offset<Ping>> for PingBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Ping>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Ping>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAsOffset<Ping> for PingBuilder<(T0, T1)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Ping> {
                    let (v0, v1) = &self.0;
                    Ping::create(builder, v0, v1)
                }
            }

            /// Reference to a deserialized [Ping].
            #[derive(Copy, Clone)]
            pub struct PingRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> PingRef<'a> {
                /// Getter for the [`name` field](Ping#structfield.name).
                #[inline]
                pub fn name(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "Ping", "name")
                }

                /// Getter for the [`sequence` field](Ping#structfield.sequence).
                #[inline]
                pub fn sequence(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "Ping", "sequence")?.unwrap_or(0))
                }
            }

            impl<'a> ::core::fmt::Debug for PingRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("PingRef");
                    f.field("name", &self.name());
                    f.field("sequence", &self.sequence());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<PingRef<'a>> for Ping {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: PingRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        name: ::core::convert::Into::into(value.name()?),
                        sequence: ::core::convert::TryInto::try_into(value.sequence()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for PingRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for PingRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[PingRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Ping>> for Ping {
                type Value = ::planus::Offset<Ping>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Ping>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for PingRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[PingRef]", "read_as_root", 0))
                }
            }

            /// The table `PingAck` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `PingAck` in the file `protocol.fbs:154`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct PingAck {
                /// The field `name` in the table `PingAck`
                pub name: ::planus::alloc::string::String,
                /// The field `sequence` in the table `PingAck`
                pub sequence: u64,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for PingAck {
                fn default() -> Self {
                    Self { name: ::core::default::Default::default(), sequence: 0 }
                }
            }

            impl PingAck {
                /// Creates a [PingAckBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> PingAckBuilder<()> {
                    PingAckBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_name: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_sequence: impl ::planus::WriteAsDefault<u64, u64>,
                ) -> ::planus::Offset<Self> {
                    let prepared_name = field_name.prepare(builder);
                    let prepared_sequence = field_sequence.prepare(builder, &0);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    if prepared_sequence.is_some() {
                        table_writer.write_entry::<u64>(1);
                    }
                    table_writer.write_entry::<::planus::Offset<str>>(0);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_sequence) = prepared_sequence {
                                object_writer.write::<_, _, 8>(&prepared_sequence);
                            }
                            object_writer.write::<_, _, 4>(&prepared_name);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<PingAck>> for PingAck {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<PingAck> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<PingAck>> for PingAck {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<PingAck>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<PingAck> for PingAck {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<PingAck> {
                    PingAck::create(builder, &self.name, self.sequence)
                }
            }

            /// Builder for serializing an instance of the [PingAck] type.
            ///
            /// Can be created using the [PingAck::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct PingAckBuilder<State>(State);

            impl PingAckBuilder<()> {
                /// Setter for the [`name` field](PingAck#structfield.name).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn name<T0>(self, value: T0) -> PingAckBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    PingAckBuilder((value,))
                }
            }

            impl<T0> PingAckBuilder<(T0,)> {
                /// Setter for the [`sequence` field](PingAck#structfield.sequence).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn sequence<T1>(self, value: T1) -> PingAckBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    PingAckBuilder((v0, value))
                }

                /// Sets the [`sequence` field](PingAck#structfield.sequence) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn sequence_as_default(self) -> PingAckBuilder<(T0, ::planus::DefaultValue)> {
                    self.sequence(::planus::DefaultValue)
                }
            }

            impl<T0, T1> PingAckBuilder<(T0, T1)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [PingAck].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<PingAck>
                where
                    Self: ::planus::WriteAsOffset<PingAck>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAs<::planus::Offset<PingAck>> for PingAckBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<PingAck>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<PingAck> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAsOptional<::planus::Offset<PingAck>> for PingAckBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<PingAck>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<PingAck>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<u64, u64>>
                ::planus::WriteAsOffset<PingAck> for PingAckBuilder<(T0, T1)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<PingAck> {
                    let (v0, v1) = &self.0;
                    PingAck::create(builder, v0, v1)
                }
            }

            /// Reference to a deserialized [PingAck].
            #[derive(Copy, Clone)]
            pub struct PingAckRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> PingAckRef<'a> {
                /// Getter for the [`name` field](PingAck#structfield.name).
                #[inline]
                pub fn name(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "PingAck", "name")
                }

                /// Getter for the [`sequence` field](PingAck#structfield.sequence).
                #[inline]
                pub fn sequence(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "PingAck", "sequence")?.unwrap_or(0))
                }
            }

            impl<'a> ::core::fmt::Debug for PingAckRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("PingAckRef");
                    f.field("name", &self.name());
                    f.field("sequence", &self.sequence());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<PingAckRef<'a>> for PingAck {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: PingAckRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        name: ::core::convert::Into::into(value.name()?),
                        sequence: ::core::convert::TryInto::try_into(value.sequence()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for PingAckRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for PingAckRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[PingAckRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<PingAck>> for PingAck {
                type Value = ::planus::Offset<PingAck>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<PingAck>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for PingAckRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[PingAckRef]", "read_as_root", 0))
                }
            }

            /// The enum `ServerState` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Enum `ServerState` in the file `protocol.fbs:158`
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
            pub enum ServerState {
                /// The variant `Ready` in the enum `ServerState`
                Ready = 0,

                /// The variant `Draining` in the enum `ServerState`
                Draining = 1,
            }

            impl ServerState {
                /// Array containing all valid variants of ServerState
                pub const ENUM_VALUES: [Self; 2] = [Self::Ready, Self::Draining];
            }

            impl ::core::convert::TryFrom<u8> for ServerState {
                type Error = ::planus::errors::UnknownEnumTagKind;
                #[inline]
                fn try_from(value: u8) -> ::core::result::Result<Self, ::planus::errors::UnknownEnumTagKind> {
                    #[allow(clippy::match_single_binding)]
                    match value {
                        0 => ::core::result::Result::Ok(ServerState::Ready),
                        1 => ::core::result::Result::Ok(ServerState::Draining),

                        _ => ::core::result::Result::Err(::planus::errors::UnknownEnumTagKind {
                            tag: value as i128,
                        }),
                    }
                }
            }

            impl ::core::convert::From<ServerState> for u8 {
                #[inline]
                fn from(value: ServerState) -> Self {
                    value as u8
                }
            }

            /// # Safety
            /// The Planus compiler correctly calculates `ALIGNMENT` and `SIZE`.
            unsafe impl ::planus::Primitive for ServerState {
                const ALIGNMENT: usize = 1;
                const SIZE: usize = 1;
            }

            impl ::planus::WriteAsPrimitive<ServerState> for ServerState {
                #[inline]
                fn write<const N: usize>(&self, cursor: ::planus::Cursor<'_, N>, buffer_position: u32) {
                    (*self as u8).write(cursor, buffer_position);
                }
            }

            impl ::planus::WriteAs<ServerState> for ServerState {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ServerState {
                    *self
                }
            }

            impl ::planus::WriteAsDefault<ServerState, ServerState> for ServerState {
                type Prepared = Self;

                #[inline]
                fn prepare(
                    &self,
                    _builder: &mut ::planus::Builder,
                    default: &ServerState,
                ) -> ::core::option::Option<ServerState> {
                    if self == default {
                        ::core::option::Option::None
                    } else {
                        ::core::option::Option::Some(*self)
                    }
                }
            }

            impl ::planus::WriteAsOptional<ServerState> for ServerState {
                type Prepared = Self;

                #[inline]
                fn prepare(&self, _builder: &mut ::planus::Builder) -> ::core::option::Option<ServerState> {
                    ::core::option::Option::Some(*self)
                }
            }

            impl<'buf> ::planus::TableRead<'buf> for ServerState {
                #[inline]
                fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'buf>,
                    offset: usize,
                ) -> ::core::result::Result<Self, ::planus::errors::ErrorKind> {
                    let n: u8 = ::planus::TableRead::from_buffer(buffer, offset)?;
                    ::core::result::Result::Ok(::core::convert::TryInto::try_into(n)?)
                }
            }

            impl<'buf> ::planus::VectorReadInner<'buf> for ServerState {
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
                            "ServerState",
                            "VectorRead::from_buffer",
                            buffer.offset_from_start,
                        )
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<ServerState> for ServerState {
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

            /// The table `Server` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `Server` in the file `protocol.fbs:160`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Server {
                /// The field `id` in the table `Server`
                pub id: ::planus::alloc::string::String,
                /// The field `service` in the table `Server`
                pub service: ::planus::alloc::string::String,
                /// The field `address` in the table `Server`
                pub address: ::planus::alloc::string::String,
                /// The field `zone` in the table `Server`
                pub zone: ::planus::alloc::string::String,
                /// The field `slots` in the table `Server`
                pub slots: u32,
                /// The field `state` in the table `Server`
                pub state: self::ServerState,
                ///  Remaining time of the warm-up, counted from the publication, in milliseconds.
                pub warmup_remaining_ms: u32,
                ///  Remaining time of a server that is taken away at short notice, in milliseconds.
                pub time_remaining_ms: u32,
                /// The field `has_time_remaining` in the table `Server`
                pub has_time_remaining: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Server {
                fn default() -> Self {
                    Self {
                        id: ::core::default::Default::default(),
                        service: ::core::default::Default::default(),
                        address: ::core::default::Default::default(),
                        zone: ::core::default::Default::default(),
                        slots: 0,
                        state: self::ServerState::Ready,
                        warmup_remaining_ms: 0,
                        time_remaining_ms: 0,
                        has_time_remaining: false,
                    }
                }
            }

            impl Server {
                /// Creates a [ServerBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ServerBuilder<()> {
                    ServerBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_id: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_service: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_address: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_zone: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_slots: impl ::planus::WriteAsDefault<u32, u32>,
                    field_state: impl ::planus::WriteAsDefault<self::ServerState, self::ServerState>,
                    field_warmup_remaining_ms: impl ::planus::WriteAsDefault<u32, u32>,
                    field_time_remaining_ms: impl ::planus::WriteAsDefault<u32, u32>,
                    field_has_time_remaining: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_id = field_id.prepare(builder);
                    let prepared_service = field_service.prepare(builder);
                    let prepared_address = field_address.prepare(builder);
                    let prepared_zone = field_zone.prepare(builder);
                    let prepared_slots = field_slots.prepare(builder, &0);
                    let prepared_state = field_state.prepare(builder, &self::ServerState::Ready);
                    let prepared_warmup_remaining_ms = field_warmup_remaining_ms.prepare(builder, &0);
                    let prepared_time_remaining_ms = field_time_remaining_ms.prepare(builder, &0);
                    let prepared_has_time_remaining = field_has_time_remaining.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<22> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    table_writer.write_entry::<::planus::Offset<str>>(1);
                    table_writer.write_entry::<::planus::Offset<str>>(2);
                    table_writer.write_entry::<::planus::Offset<str>>(3);
                    if prepared_slots.is_some() {
                        table_writer.write_entry::<u32>(4);
                    }
                    if prepared_warmup_remaining_ms.is_some() {
                        table_writer.write_entry::<u32>(6);
                    }
                    if prepared_time_remaining_ms.is_some() {
                        table_writer.write_entry::<u32>(7);
                    }
                    if prepared_state.is_some() {
                        table_writer.write_entry::<self::ServerState>(5);
                    }
                    if prepared_has_time_remaining.is_some() {
                        table_writer.write_entry::<bool>(8);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_id);
                            object_writer.write::<_, _, 4>(&prepared_service);
                            object_writer.write::<_, _, 4>(&prepared_address);
                            object_writer.write::<_, _, 4>(&prepared_zone);
                            if let ::core::option::Option::Some(prepared_slots) = prepared_slots {
                                object_writer.write::<_, _, 4>(&prepared_slots);
                            }
                            if let ::core::option::Option::Some(prepared_warmup_remaining_ms) =
                                prepared_warmup_remaining_ms
                            {
                                object_writer.write::<_, _, 4>(&prepared_warmup_remaining_ms);
                            }
                            if let ::core::option::Option::Some(prepared_time_remaining_ms) =
                                prepared_time_remaining_ms
                            {
                                object_writer.write::<_, _, 4>(&prepared_time_remaining_ms);
                            }
                            if let ::core::option::Option::Some(prepared_state) = prepared_state {
                                object_writer.write::<_, _, 1>(&prepared_state);
                            }
                            if let ::core::option::Option::Some(prepared_has_time_remaining) =
                                prepared_has_time_remaining
                            {
                                object_writer.write::<_, _, 1>(&prepared_has_time_remaining);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Server>> for Server {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Server> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Server>> for Server {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Server>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Server> for Server {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Server> {
                    Server::create(
                        builder,
                        &self.id,
                        &self.service,
                        &self.address,
                        &self.zone,
                        self.slots,
                        self.state,
                        self.warmup_remaining_ms,
                        self.time_remaining_ms,
                        self.has_time_remaining,
                    )
                }
            }

            /// Builder for serializing an instance of the [Server] type.
            ///
            /// Can be created using the [Server::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ServerBuilder<State>(State);

            impl ServerBuilder<()> {
                /// Setter for the [`id` field](Server#structfield.id).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn id<T0>(self, value: T0) -> ServerBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    ServerBuilder((value,))
                }
            }

            impl<T0> ServerBuilder<(T0,)> {
                /// Setter for the [`service` field](Server#structfield.service).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn service<T1>(self, value: T1) -> ServerBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0,) = self.0;
                    ServerBuilder((v0, value))
                }
            }

            impl<T0, T1> ServerBuilder<(T0, T1)> {
                /// Setter for the [`address` field](Server#structfield.address).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn address<T2>(self, value: T2) -> ServerBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1) = self.0;
                    ServerBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ServerBuilder<(T0, T1, T2)> {
                /// Setter for the [`zone` field](Server#structfield.zone).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zone<T3>(self, value: T3) -> ServerBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1, v2) = self.0;
                    ServerBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ServerBuilder<(T0, T1, T2, T3)> {
                /// Setter for the [`slots` field](Server#structfield.slots).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn slots<T4>(self, value: T4) -> ServerBuilder<(T0, T1, T2, T3, T4)>
                where
                    T4: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2, v3) = self.0;
                    ServerBuilder((v0, v1, v2, v3, value))
                }

                /// Sets the [`slots` field](Server#structfield.slots) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn slots_as_default(self) -> ServerBuilder<(T0, T1, T2, T3, ::planus::DefaultValue)> {
                    self.slots(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4> ServerBuilder<(T0, T1, T2, T3, T4)> {
                /// Setter for the [`state` field](Server#structfield.state).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn state<T5>(self, value: T5) -> ServerBuilder<(T0, T1, T2, T3, T4, T5)>
                where
                    T5: ::planus::WriteAsDefault<self::ServerState, self::ServerState>,
                {
                    let (v0, v1, v2, v3, v4) = self.0;
                    ServerBuilder((v0, v1, v2, v3, v4, value))
                }

                /// Sets the [`state` field](Server#structfield.state) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn state_as_default(self) -> ServerBuilder<(T0, T1, T2, T3, T4, ::planus::DefaultValue)> {
                    self.state(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5> ServerBuilder<(T0, T1, T2, T3, T4, T5)> {
                /// Setter for the [`warmup_remaining_ms` field](Server#structfield.warmup_remaining_ms).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn warmup_remaining_ms<T6>(self, value: T6) -> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6)>
                where
                    T6: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2, v3, v4, v5) = self.0;
                    ServerBuilder((v0, v1, v2, v3, v4, v5, value))
                }

                /// Sets the [`warmup_remaining_ms` field](Server#structfield.warmup_remaining_ms) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn warmup_remaining_ms_as_default(
                    self,
                ) -> ServerBuilder<(T0, T1, T2, T3, T4, T5, ::planus::DefaultValue)> {
                    self.warmup_remaining_ms(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6)> {
                /// Setter for the [`time_remaining_ms` field](Server#structfield.time_remaining_ms).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn time_remaining_ms<T7>(
                    self,
                    value: T7,
                ) -> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)>
                where
                    T7: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0, v1, v2, v3, v4, v5, v6) = self.0;
                    ServerBuilder((v0, v1, v2, v3, v4, v5, v6, value))
                }

                /// Sets the [`time_remaining_ms` field](Server#structfield.time_remaining_ms) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn time_remaining_ms_as_default(
                    self,
                ) -> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, ::planus::DefaultValue)> {
                    self.time_remaining_ms(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6, T7> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7)> {
                /// Setter for the [`has_time_remaining` field](Server#structfield.has_time_remaining).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn has_time_remaining<T8>(
                    self,
                    value: T8,
                ) -> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7, T8)>
                where
                    T8: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0, v1, v2, v3, v4, v5, v6, v7) = self.0;
                    ServerBuilder((v0, v1, v2, v3, v4, v5, v6, v7, value))
                }

                /// Sets the [`has_time_remaining` field](Server#structfield.has_time_remaining) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn has_time_remaining_as_default(
                    self,
                ) -> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7, ::planus::DefaultValue)> {
                    self.has_time_remaining(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2, T3, T4, T5, T6, T7, T8> ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7, T8)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Server].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Server>
                where
                    Self: ::planus::WriteAsOffset<Server>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAsDefault<u32, u32>,
                    T5: ::planus::WriteAsDefault<self::ServerState, self::ServerState>,
                    T6: ::planus::WriteAsDefault<u32, u32>,
                    T7: ::planus::WriteAsDefault<u32, u32>,
                    T8: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAs<::planus::Offset<Server>>
                for ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7, T8)>
            {
                type Prepared = ::planus::Offset<Server>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Server> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAsDefault<u32, u32>,
                    T5: ::planus::WriteAsDefault<self::ServerState, self::ServerState>,
                    T6: ::planus::WriteAsDefault<u32, u32>,
                    T7: ::planus::WriteAsDefault<u32, u32>,
                    T8: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOptional<::planus::Offset<Server>>
                for ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7, T8)>
            {
                type Prepared = ::planus::Offset<Server>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Server>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                    T3: ::planus::WriteAs<::planus::Offset<str>>,
                    T4: ::planus::WriteAsDefault<u32, u32>,
                    T5: ::planus::WriteAsDefault<self::ServerState, self::ServerState>,
                    T6: ::planus::WriteAsDefault<u32, u32>,
                    T7: ::planus::WriteAsDefault<u32, u32>,
                    T8: ::planus::WriteAsDefault<bool, bool>,
                > ::planus::WriteAsOffset<Server> for ServerBuilder<(T0, T1, T2, T3, T4, T5, T6, T7, T8)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Server> {
                    let (v0, v1, v2, v3, v4, v5, v6, v7, v8) = &self.0;
                    Server::create(builder, v0, v1, v2, v3, v4, v5, v6, v7, v8)
                }
            }

            /// Reference to a deserialized [Server].
            #[derive(Copy, Clone)]
            pub struct ServerRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ServerRef<'a> {
                /// Getter for the [`id` field](Server#structfield.id).
                #[inline]
                pub fn id(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(0, "Server", "id")
                }

                /// Getter for the [`service` field](Server#structfield.service).
                #[inline]
                pub fn service(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(1, "Server", "service")
                }

                /// Getter for the [`address` field](Server#structfield.address).
                #[inline]
                pub fn address(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(2, "Server", "address")
                }

                /// Getter for the [`zone` field](Server#structfield.zone).
                #[inline]
                pub fn zone(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(3, "Server", "zone")
                }

                /// Getter for the [`slots` field](Server#structfield.slots).
                #[inline]
                pub fn slots(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(4, "Server", "slots")?.unwrap_or(0))
                }

                /// Getter for the [`state` field](Server#structfield.state).
                #[inline]
                pub fn state(&self) -> ::planus::Result<self::ServerState> {
                    ::core::result::Result::Ok(
                        self.0.access(5, "Server", "state")?.unwrap_or(self::ServerState::Ready),
                    )
                }

                /// Getter for the [`warmup_remaining_ms` field](Server#structfield.warmup_remaining_ms).
                #[inline]
                pub fn warmup_remaining_ms(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(
                        self.0.access(6, "Server", "warmup_remaining_ms")?.unwrap_or(0),
                    )
                }

                /// Getter for the [`time_remaining_ms` field](Server#structfield.time_remaining_ms).
                #[inline]
                pub fn time_remaining_ms(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(7, "Server", "time_remaining_ms")?.unwrap_or(0))
                }

                /// Getter for the [`has_time_remaining` field](Server#structfield.has_time_remaining).
                #[inline]
                pub fn has_time_remaining(&self) -> ::planus::Result<bool> {
                    ::core::result::Result::Ok(
                        self.0.access(8, "Server", "has_time_remaining")?.unwrap_or(false),
                    )
                }
            }

            impl<'a> ::core::fmt::Debug for ServerRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ServerRef");
                    f.field("id", &self.id());
                    f.field("service", &self.service());
                    f.field("address", &self.address());
                    f.field("zone", &self.zone());
                    f.field("slots", &self.slots());
                    f.field("state", &self.state());
                    f.field("warmup_remaining_ms", &self.warmup_remaining_ms());
                    f.field("time_remaining_ms", &self.time_remaining_ms());
                    f.field("has_time_remaining", &self.has_time_remaining());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ServerRef<'a>> for Server {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ServerRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        id: ::core::convert::Into::into(value.id()?),
                        service: ::core::convert::Into::into(value.service()?),
                        address: ::core::convert::Into::into(value.address()?),
                        zone: ::core::convert::Into::into(value.zone()?),
                        slots: ::core::convert::TryInto::try_into(value.slots()?)?,
                        state: ::core::convert::TryInto::try_into(value.state()?)?,
                        warmup_remaining_ms: ::core::convert::TryInto::try_into(
                            value.warmup_remaining_ms()?,
                        )?,
                        time_remaining_ms: ::core::convert::TryInto::try_into(value.time_remaining_ms()?)?,
                        has_time_remaining: ::core::convert::TryInto::try_into(value.has_time_remaining()?)?,
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ServerRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ServerRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ServerRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<Server>> for Server {
                type Value = ::planus::Offset<Server>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<Server>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ServerRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| error_kind.with_error_location("[ServerRef]", "read_as_root", 0))
                }
            }

            ///  A control node, as agents need to know it.
            ///
            /// Generated from these locations:
            /// * Table `ControlNode` in the file `protocol.fbs:175`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ControlNode {
                /// The field `ip` in the table `ControlNode`
                pub ip: u32,
                /// The field `zone` in the table `ControlNode`
                pub zone: ::planus::alloc::string::String,
                /// The field `region` in the table `ControlNode`
                pub region: ::planus::alloc::string::String,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ControlNode {
                fn default() -> Self {
                    Self {
                        ip: 0,
                        zone: ::core::default::Default::default(),
                        region: ::core::default::Default::default(),
                    }
                }
            }

            impl ControlNode {
                /// Creates a [ControlNodeBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ControlNodeBuilder<()> {
                    ControlNodeBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_ip: impl ::planus::WriteAsDefault<u32, u32>,
                    field_zone: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_region: impl ::planus::WriteAs<::planus::Offset<str>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_ip = field_ip.prepare(builder, &0);
                    let prepared_zone = field_zone.prepare(builder);
                    let prepared_region = field_region.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<10> =
                        ::core::default::Default::default();
                    if prepared_ip.is_some() {
                        table_writer.write_entry::<u32>(0);
                    }
                    table_writer.write_entry::<::planus::Offset<str>>(1);
                    table_writer.write_entry::<::planus::Offset<str>>(2);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_ip) = prepared_ip {
                                object_writer.write::<_, _, 4>(&prepared_ip);
                            }
                            object_writer.write::<_, _, 4>(&prepared_zone);
                            object_writer.write::<_, _, 4>(&prepared_region);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ControlNode>> for ControlNode {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNode> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ControlNode>> for ControlNode {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ControlNode>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ControlNode> for ControlNode {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNode> {
                    ControlNode::create(builder, self.ip, &self.zone, &self.region)
                }
            }

            /// Builder for serializing an instance of the [ControlNode] type.
            ///
            /// Can be created using the [ControlNode::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ControlNodeBuilder<State>(State);

            impl ControlNodeBuilder<()> {
                /// Setter for the [`ip` field](ControlNode#structfield.ip).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn ip<T0>(self, value: T0) -> ControlNodeBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u32, u32>,
                {
                    ControlNodeBuilder((value,))
                }

                /// Sets the [`ip` field](ControlNode#structfield.ip) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn ip_as_default(self) -> ControlNodeBuilder<(::planus::DefaultValue,)> {
                    self.ip(::planus::DefaultValue)
                }
            }

            impl<T0> ControlNodeBuilder<(T0,)> {
                /// Setter for the [`zone` field](ControlNode#structfield.zone).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zone<T1>(self, value: T1) -> ControlNodeBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0,) = self.0;
                    ControlNodeBuilder((v0, value))
                }
            }

            impl<T0, T1> ControlNodeBuilder<(T0, T1)> {
                /// Setter for the [`region` field](ControlNode#structfield.region).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn region<T2>(self, value: T2) -> ControlNodeBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    let (v0, v1) = self.0;
                    ControlNodeBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ControlNodeBuilder<(T0, T1, T2)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ControlNode].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNode>
                where
                    Self: ::planus::WriteAsOffset<ControlNode>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u32, u32>,
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                > ::planus::WriteAs<::planus::Offset<ControlNode>> for ControlNodeBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<ControlNode>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNode> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u32, u32>,
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                > ::planus::WriteAsOptional<::planus::Offset<ControlNode>>
                for ControlNodeBuilder<(T0, T1, T2)>
            {
                type Prepared = ::planus::Offset<ControlNode>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ControlNode>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u32, u32>,
                    T1: ::planus::WriteAs<::planus::Offset<str>>,
                    T2: ::planus::WriteAs<::planus::Offset<str>>,
                > ::planus::WriteAsOffset<ControlNode> for ControlNodeBuilder<(T0, T1, T2)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ControlNode> {
                    let (v0, v1, v2) = &self.0;
                    ControlNode::create(builder, v0, v1, v2)
                }
            }

            /// Reference to a deserialized [ControlNode].
            #[derive(Copy, Clone)]
            pub struct ControlNodeRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ControlNodeRef<'a> {
                /// Getter for the [`ip` field](ControlNode#structfield.ip).
                #[inline]
                pub fn ip(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(0, "ControlNode", "ip")?.unwrap_or(0))
                }

                /// Getter for the [`zone` field](ControlNode#structfield.zone).
                #[inline]
                pub fn zone(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(1, "ControlNode", "zone")
                }

                /// Getter for the [`region` field](ControlNode#structfield.region).
                #[inline]
                pub fn region(&self) -> ::planus::Result<&'a ::core::primitive::str> {
                    self.0.access_required(2, "ControlNode", "region")
                }
            }

            impl<'a> ::core::fmt::Debug for ControlNodeRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ControlNodeRef");
                    f.field("ip", &self.ip());
                    f.field("zone", &self.zone());
                    f.field("region", &self.region());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ControlNodeRef<'a>> for ControlNode {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ControlNodeRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        ip: ::core::convert::TryInto::try_into(value.ip()?)?,
                        zone: ::core::convert::Into::into(value.zone()?),
                        region: ::core::convert::Into::into(value.region()?),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ControlNodeRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ControlNodeRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ControlNodeRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ControlNode>> for ControlNode {
                type Value = ::planus::Offset<ControlNode>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ControlNode>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ControlNodeRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ControlNodeRef]", "read_as_root", 0)
                    })
                }
            }

            ///  The head of the configuration in force. Its routes are items of their own.
            ///
            /// Generated from these locations:
            /// * Table `ConfigHead` in the file `protocol.fbs:178`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ConfigHead {
                /// The field `version` in the table `ConfigHead`
                pub version: u64,
                /// The field `routes` in the table `ConfigHead`
                pub routes: u32,
                /// The field `services` in the table `ConfigHead`
                pub services: ::planus::alloc::vec::Vec<u8>,
                /// The field `limits` in the table `ConfigHead`
                pub limits: ::planus::alloc::vec::Vec<u8>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ConfigHead {
                fn default() -> Self {
                    Self {
                        version: 0,
                        routes: 0,
                        services: ::core::default::Default::default(),
                        limits: ::core::default::Default::default(),
                    }
                }
            }

            impl ConfigHead {
                /// Creates a [ConfigHeadBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ConfigHeadBuilder<()> {
                    ConfigHeadBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_version: impl ::planus::WriteAsDefault<u64, u64>,
                    field_routes: impl ::planus::WriteAsDefault<u32, u32>,
                    field_services: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                    field_limits: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_version = field_version.prepare(builder, &0);
                    let prepared_routes = field_routes.prepare(builder, &0);
                    let prepared_services = field_services.prepare(builder);
                    let prepared_limits = field_limits.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
                        ::core::default::Default::default();
                    if prepared_version.is_some() {
                        table_writer.write_entry::<u64>(0);
                    }
                    if prepared_routes.is_some() {
                        table_writer.write_entry::<u32>(1);
                    }
                    table_writer.write_entry::<::planus::Offset<[u8]>>(2);
                    table_writer.write_entry::<::planus::Offset<[u8]>>(3);

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            if let ::core::option::Option::Some(prepared_version) = prepared_version {
                                object_writer.write::<_, _, 8>(&prepared_version);
                            }
                            if let ::core::option::Option::Some(prepared_routes) = prepared_routes {
                                object_writer.write::<_, _, 4>(&prepared_routes);
                            }
                            object_writer.write::<_, _, 4>(&prepared_services);
                            object_writer.write::<_, _, 4>(&prepared_limits);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ConfigHead>> for ConfigHead {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ConfigHead> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ConfigHead>> for ConfigHead {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ConfigHead>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ConfigHead> for ConfigHead {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ConfigHead> {
                    ConfigHead::create(builder, self.version, self.routes, &self.services, &self.limits)
                }
            }

            /// Builder for serializing an instance of the [ConfigHead] type.
            ///
            /// Can be created using the [ConfigHead::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ConfigHeadBuilder<State>(State);

            impl ConfigHeadBuilder<()> {
                /// Setter for the [`version` field](ConfigHead#structfield.version).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version<T0>(self, value: T0) -> ConfigHeadBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    ConfigHeadBuilder((value,))
                }

                /// Sets the [`version` field](ConfigHead#structfield.version) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version_as_default(self) -> ConfigHeadBuilder<(::planus::DefaultValue,)> {
                    self.version(::planus::DefaultValue)
                }
            }

            impl<T0> ConfigHeadBuilder<(T0,)> {
                /// Setter for the [`routes` field](ConfigHead#structfield.routes).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn routes<T1>(self, value: T1) -> ConfigHeadBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u32, u32>,
                {
                    let (v0,) = self.0;
                    ConfigHeadBuilder((v0, value))
                }

                /// Sets the [`routes` field](ConfigHead#structfield.routes) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn routes_as_default(self) -> ConfigHeadBuilder<(T0, ::planus::DefaultValue)> {
                    self.routes(::planus::DefaultValue)
                }
            }

            impl<T0, T1> ConfigHeadBuilder<(T0, T1)> {
                /// Setter for the [`services` field](ConfigHead#structfield.services).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn services<T2>(self, value: T2) -> ConfigHeadBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1) = self.0;
                    ConfigHeadBuilder((v0, v1, value))
                }
            }

            impl<T0, T1, T2> ConfigHeadBuilder<(T0, T1, T2)> {
                /// Setter for the [`limits` field](ConfigHead#structfield.limits).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn limits<T3>(self, value: T3) -> ConfigHeadBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1, v2) = self.0;
                    ConfigHeadBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ConfigHeadBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ConfigHead].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ConfigHead>
                where
                    Self: ::planus::WriteAsOffset<ConfigHead>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAs<::planus::Offset<ConfigHead>> for ConfigHeadBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<ConfigHead>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ConfigHead> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOptional<::planus::Offset<ConfigHead>>
                for ConfigHeadBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<ConfigHead>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ConfigHead>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u32, u32>,
                    T2: ::planus::WriteAs<::planus::Offset<[u8]>>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOffset<ConfigHead> for ConfigHeadBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ConfigHead> {
                    let (v0, v1, v2, v3) = &self.0;
                    ConfigHead::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [ConfigHead].
            #[derive(Copy, Clone)]
            pub struct ConfigHeadRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ConfigHeadRef<'a> {
                /// Getter for the [`version` field](ConfigHead#structfield.version).
                #[inline]
                pub fn version(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "ConfigHead", "version")?.unwrap_or(0))
                }

                /// Getter for the [`routes` field](ConfigHead#structfield.routes).
                #[inline]
                pub fn routes(&self) -> ::planus::Result<u32> {
                    ::core::result::Result::Ok(self.0.access(1, "ConfigHead", "routes")?.unwrap_or(0))
                }

                /// Getter for the [`services` field](ConfigHead#structfield.services).
                #[inline]
                pub fn services(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(2, "ConfigHead", "services")
                }

                /// Getter for the [`limits` field](ConfigHead#structfield.limits).
                #[inline]
                pub fn limits(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(3, "ConfigHead", "limits")
                }
            }

            impl<'a> ::core::fmt::Debug for ConfigHeadRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ConfigHeadRef");
                    f.field("version", &self.version());
                    f.field("routes", &self.routes());
                    f.field("services", &self.services());
                    f.field("limits", &self.limits());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ConfigHeadRef<'a>> for ConfigHead {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ConfigHeadRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        version: ::core::convert::TryInto::try_into(value.version()?)?,
                        routes: ::core::convert::TryInto::try_into(value.routes()?)?,
                        services: value.services()?.to_vec(),
                        limits: value.limits()?.to_vec(),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ConfigHeadRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ConfigHeadRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ConfigHeadRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ConfigHead>> for ConfigHead {
                type Value = ::planus::Offset<ConfigHead>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ConfigHead>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ConfigHeadRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ConfigHeadRef]", "read_as_root", 0)
                    })
                }
            }

            /// The table `ReplaceConfig` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `ReplaceConfig` in the file `protocol.fbs:182`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct ReplaceConfig {
                /// The field `version` in the table `ReplaceConfig`
                pub version: u64,
                /// The field `base` in the table `ReplaceConfig`
                pub base: u64,
                /// The field `content_hash` in the table `ReplaceConfig`
                pub content_hash: u64,
                /// The field `body` in the table `ReplaceConfig`
                pub body: ::planus::alloc::vec::Vec<u8>,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for ReplaceConfig {
                fn default() -> Self {
                    Self { version: 0, base: 0, content_hash: 0, body: ::core::default::Default::default() }
                }
            }

            impl ReplaceConfig {
                /// Creates a [ReplaceConfigBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> ReplaceConfigBuilder<()> {
                    ReplaceConfigBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_version: impl ::planus::WriteAsDefault<u64, u64>,
                    field_base: impl ::planus::WriteAsDefault<u64, u64>,
                    field_content_hash: impl ::planus::WriteAsDefault<u64, u64>,
                    field_body: impl ::planus::WriteAs<::planus::Offset<[u8]>>,
                ) -> ::planus::Offset<Self> {
                    let prepared_version = field_version.prepare(builder, &0);
                    let prepared_base = field_base.prepare(builder, &0);
                    let prepared_content_hash = field_content_hash.prepare(builder, &0);
                    let prepared_body = field_body.prepare(builder);

                    let mut table_writer: ::planus::table_writer::TableWriter<12> =
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
                    table_writer.write_entry::<::planus::Offset<[u8]>>(3);

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
                            object_writer.write::<_, _, 4>(&prepared_body);
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<ReplaceConfig>> for ReplaceConfig {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ReplaceConfig> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<ReplaceConfig>> for ReplaceConfig {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ReplaceConfig>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<ReplaceConfig> for ReplaceConfig {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ReplaceConfig> {
                    ReplaceConfig::create(builder, self.version, self.base, self.content_hash, &self.body)
                }
            }

            /// Builder for serializing an instance of the [ReplaceConfig] type.
            ///
            /// Can be created using the [ReplaceConfig::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct ReplaceConfigBuilder<State>(State);

            impl ReplaceConfigBuilder<()> {
                /// Setter for the [`version` field](ReplaceConfig#structfield.version).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version<T0>(self, value: T0) -> ReplaceConfigBuilder<(T0,)>
                where
                    T0: ::planus::WriteAsDefault<u64, u64>,
                {
                    ReplaceConfigBuilder((value,))
                }

                /// Sets the [`version` field](ReplaceConfig#structfield.version) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn version_as_default(self) -> ReplaceConfigBuilder<(::planus::DefaultValue,)> {
                    self.version(::planus::DefaultValue)
                }
            }

            impl<T0> ReplaceConfigBuilder<(T0,)> {
                /// Setter for the [`base` field](ReplaceConfig#structfield.base).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn base<T1>(self, value: T1) -> ReplaceConfigBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0,) = self.0;
                    ReplaceConfigBuilder((v0, value))
                }

                /// Sets the [`base` field](ReplaceConfig#structfield.base) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn base_as_default(self) -> ReplaceConfigBuilder<(T0, ::planus::DefaultValue)> {
                    self.base(::planus::DefaultValue)
                }
            }

            impl<T0, T1> ReplaceConfigBuilder<(T0, T1)> {
                /// Setter for the [`content_hash` field](ReplaceConfig#structfield.content_hash).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn content_hash<T2>(self, value: T2) -> ReplaceConfigBuilder<(T0, T1, T2)>
                where
                    T2: ::planus::WriteAsDefault<u64, u64>,
                {
                    let (v0, v1) = self.0;
                    ReplaceConfigBuilder((v0, v1, value))
                }

                /// Sets the [`content_hash` field](ReplaceConfig#structfield.content_hash) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn content_hash_as_default(
                    self,
                ) -> ReplaceConfigBuilder<(T0, T1, ::planus::DefaultValue)> {
                    self.content_hash(::planus::DefaultValue)
                }
            }

            impl<T0, T1, T2> ReplaceConfigBuilder<(T0, T1, T2)> {
                /// Setter for the [`body` field](ReplaceConfig#structfield.body).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn body<T3>(self, value: T3) -> ReplaceConfigBuilder<(T0, T1, T2, T3)>
                where
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                {
                    let (v0, v1, v2) = self.0;
                    ReplaceConfigBuilder((v0, v1, v2, value))
                }
            }

            impl<T0, T1, T2, T3> ReplaceConfigBuilder<(T0, T1, T2, T3)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [ReplaceConfig].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<ReplaceConfig>
                where
                    Self: ::planus::WriteAsOffset<ReplaceConfig>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAs<::planus::Offset<ReplaceConfig>>
                for ReplaceConfigBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<ReplaceConfig>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ReplaceConfig> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOptional<::planus::Offset<ReplaceConfig>>
                for ReplaceConfigBuilder<(T0, T1, T2, T3)>
            {
                type Prepared = ::planus::Offset<ReplaceConfig>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<ReplaceConfig>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl<
                    T0: ::planus::WriteAsDefault<u64, u64>,
                    T1: ::planus::WriteAsDefault<u64, u64>,
                    T2: ::planus::WriteAsDefault<u64, u64>,
                    T3: ::planus::WriteAs<::planus::Offset<[u8]>>,
                > ::planus::WriteAsOffset<ReplaceConfig> for ReplaceConfigBuilder<(T0, T1, T2, T3)>
            {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<ReplaceConfig> {
                    let (v0, v1, v2, v3) = &self.0;
                    ReplaceConfig::create(builder, v0, v1, v2, v3)
                }
            }

            /// Reference to a deserialized [ReplaceConfig].
            #[derive(Copy, Clone)]
            pub struct ReplaceConfigRef<'a>(#[allow(dead_code)] ::planus::table_reader::Table<'a>);

            impl<'a> ReplaceConfigRef<'a> {
                /// Getter for the [`version` field](ReplaceConfig#structfield.version).
                #[inline]
                pub fn version(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(0, "ReplaceConfig", "version")?.unwrap_or(0))
                }

                /// Getter for the [`base` field](ReplaceConfig#structfield.base).
                #[inline]
                pub fn base(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(self.0.access(1, "ReplaceConfig", "base")?.unwrap_or(0))
                }

                /// Getter for the [`content_hash` field](ReplaceConfig#structfield.content_hash).
                #[inline]
                pub fn content_hash(&self) -> ::planus::Result<u64> {
                    ::core::result::Result::Ok(
                        self.0.access(2, "ReplaceConfig", "content_hash")?.unwrap_or(0),
                    )
                }

                /// Getter for the [`body` field](ReplaceConfig#structfield.body).
                #[inline]
                pub fn body(&self) -> ::planus::Result<&'a [u8]> {
                    self.0.access_required(3, "ReplaceConfig", "body")
                }
            }

            impl<'a> ::core::fmt::Debug for ReplaceConfigRef<'a> {
                fn fmt(&self, f: &mut ::core::fmt::Formatter<'_>) -> ::core::fmt::Result {
                    let mut f = f.debug_struct("ReplaceConfigRef");
                    f.field("version", &self.version());
                    f.field("base", &self.base());
                    f.field("content_hash", &self.content_hash());
                    f.field("body", &self.body());
                    f.finish()
                }
            }

            impl<'a> ::core::convert::TryFrom<ReplaceConfigRef<'a>> for ReplaceConfig {
                type Error = ::planus::Error;

                #[allow(unreachable_code)]
                fn try_from(value: ReplaceConfigRef<'a>) -> ::planus::Result<Self> {
                    ::core::result::Result::Ok(Self {
                        version: ::core::convert::TryInto::try_into(value.version()?)?,
                        base: ::core::convert::TryInto::try_into(value.base()?)?,
                        content_hash: ::core::convert::TryInto::try_into(value.content_hash()?)?,
                        body: value.body()?.to_vec(),
                    })
                }
            }

            impl<'a> ::planus::TableRead<'a> for ReplaceConfigRef<'a> {
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

            impl<'a> ::planus::VectorReadInner<'a> for ReplaceConfigRef<'a> {
                type Error = ::planus::Error;
                const STRIDE: usize = 4;

                unsafe fn from_buffer(
                    buffer: ::planus::SliceWithStartOffset<'a>,
                    offset: usize,
                ) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(buffer, offset).map_err(|error_kind| {
                        error_kind.with_error_location("[ReplaceConfigRef]", "get", buffer.offset_from_start)
                    })
                }
            }

            /// # Safety
            /// The planus compiler generates implementations that initialize
            /// the bytes in `write_values`.
            unsafe impl ::planus::VectorWrite<::planus::Offset<ReplaceConfig>> for ReplaceConfig {
                type Value = ::planus::Offset<ReplaceConfig>;
                const STRIDE: usize = 4;
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> Self::Value {
                    ::planus::WriteAs::prepare(self, builder)
                }

                #[inline]
                unsafe fn write_values(
                    values: &[::planus::Offset<ReplaceConfig>],
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

            impl<'a> ::planus::ReadAsRoot<'a> for ReplaceConfigRef<'a> {
                fn read_as_root(slice: &'a [u8]) -> ::planus::Result<Self> {
                    ::planus::TableRead::from_buffer(
                        ::planus::SliceWithStartOffset { buffer: slice, offset_from_start: 0 },
                        0,
                    )
                    .map_err(|error_kind| {
                        error_kind.with_error_location("[ReplaceConfigRef]", "read_as_root", 0)
                    })
                }
            }

            /// The table `Evacuation` in the namespace `quillpulley.protocol`
            ///
            /// Generated from these locations:
            /// * Table `Evacuation` in the file `protocol.fbs:183`
            #[derive(
                Clone, Debug, PartialEq, PartialOrd, Eq, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            pub struct Evacuation {
                /// The field `zone` in the table `Evacuation`
                pub zone: ::planus::alloc::string::String,
                /// The field `active` in the table `Evacuation`
                pub active: bool,
            }

            #[allow(clippy::derivable_impls)]
            impl ::core::default::Default for Evacuation {
                fn default() -> Self {
                    Self { zone: ::core::default::Default::default(), active: false }
                }
            }

            impl Evacuation {
                /// Creates a [EvacuationBuilder] for serializing an instance of this table.
                #[inline]
                pub fn builder() -> EvacuationBuilder<()> {
                    EvacuationBuilder(())
                }

                #[allow(clippy::too_many_arguments)]
                pub fn create(
                    builder: &mut ::planus::Builder,
                    field_zone: impl ::planus::WriteAs<::planus::Offset<str>>,
                    field_active: impl ::planus::WriteAsDefault<bool, bool>,
                ) -> ::planus::Offset<Self> {
                    let prepared_zone = field_zone.prepare(builder);
                    let prepared_active = field_active.prepare(builder, &false);

                    let mut table_writer: ::planus::table_writer::TableWriter<8> =
                        ::core::default::Default::default();
                    table_writer.write_entry::<::planus::Offset<str>>(0);
                    if prepared_active.is_some() {
                        table_writer.write_entry::<bool>(1);
                    }

                    unsafe {
                        table_writer.finish(builder, |object_writer| {
                            object_writer.write::<_, _, 4>(&prepared_zone);
                            if let ::core::option::Option::Some(prepared_active) = prepared_active {
                                object_writer.write::<_, _, 1>(&prepared_active);
                            }
                        });
                    }
                    builder.current_offset()
                }
            }

            impl ::planus::WriteAs<::planus::Offset<Evacuation>> for Evacuation {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Evacuation> {
                    ::planus::WriteAsOffset::prepare(self, builder)
                }
            }

            impl ::planus::WriteAsOptional<::planus::Offset<Evacuation>> for Evacuation {
                type Prepared = ::planus::Offset<Self>;

                #[inline]
                fn prepare(
                    &self,
                    builder: &mut ::planus::Builder,
                ) -> ::core::option::Option<::planus::Offset<Evacuation>> {
                    ::core::option::Option::Some(::planus::WriteAsOffset::prepare(self, builder))
                }
            }

            impl ::planus::WriteAsOffset<Evacuation> for Evacuation {
                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Evacuation> {
                    Evacuation::create(builder, &self.zone, self.active)
                }
            }

            /// Builder for serializing an instance of the [Evacuation] type.
            ///
            /// Can be created using the [Evacuation::builder] method.
            #[derive(Debug)]
            #[must_use]
            pub struct EvacuationBuilder<State>(State);

            impl EvacuationBuilder<()> {
                /// Setter for the [`zone` field](Evacuation#structfield.zone).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn zone<T0>(self, value: T0) -> EvacuationBuilder<(T0,)>
                where
                    T0: ::planus::WriteAs<::planus::Offset<str>>,
                {
                    EvacuationBuilder((value,))
                }
            }

            impl<T0> EvacuationBuilder<(T0,)> {
                /// Setter for the [`active` field](Evacuation#structfield.active).
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn active<T1>(self, value: T1) -> EvacuationBuilder<(T0, T1)>
                where
                    T1: ::planus::WriteAsDefault<bool, bool>,
                {
                    let (v0,) = self.0;
                    EvacuationBuilder((v0, value))
                }

                /// Sets the [`active` field](Evacuation#structfield.active) to the default value.
                #[inline]
                #[allow(clippy::type_complexity)]
                pub fn active_as_default(self) -> EvacuationBuilder<(T0, ::planus::DefaultValue)> {
                    self.active(::planus::DefaultValue)
                }
            }

            impl<T0, T1> EvacuationBuilder<(T0, T1)> {
                /// Finish writing the builder to get an [Offset](::planus::Offset) to a serialized [Evacuation].
                #[inline]
                pub fn finish(self, builder: &mut ::planus::Builder) -> ::planus::Offset<Evacuation>
                where
                    Self: ::planus::WriteAsOffset<Evacuation>,
                {
                    ::planus::WriteAsOffset::prepare(&self, builder)
                }
            }

            impl<T0: ::planus::WriteAs<::planus::Offset<str>>, T1: ::planus::WriteAsDefault<bool, bool>>
                ::planus::WriteAs<::planus::Offset<Evacuation>> for EvacuationBuilder<(T0, T1)>
            {
                type Prepared = ::planus::Offset<Evacuation>;

                #[inline]
                fn prepare(&self, builder: &mut ::planus::Builder) -> ::planus::Offset<Evacuation> {
