//! The test cases of `timelines.rs`, one per line.
//!
//! The left column lists the steps of the client, one request after the other on one connection. A step
//! `route=result` sends a request to a route and gives the expected result:
//!
//! | route | meaning |
//! | --- | --- |
//! | `once`, `again` | a route that is not idempotent, and one that is |
//! | `brief`, `brief-again` | the same with a timeout of 300 ms |
//! | `stream`, `resume` | a streaming route that is not resumable, and one that is |
//! | `...+long` | the request has a body that does not fit into the socket buffers |
//!
//! A result is `ok`, an error status, or the ids of the events that the client receives, with `truncated` at
//! the end if the response is truncated or missing. The step `reuse-delay` waits until a connection to a
//! server may be reused, and the step `scripts-ended` waits until all started scripts have ended.
//!
//! The right column lists the scripts of the servers (see `support/script.rs`), separated by `;`. Each
//! connection runs the next one.

/// Responses that are not streamed: complete, truncated or missing.
pub const UNSTREAMED: &str = "
    once=ok                       | request ok
    once=ok                       | request chunked
    once=ok                       | request ok-close
    once=ok                       | request status-103 ok
    once=ok                       | request unframed close
    once=502                      | request unframed reset
    once=502                      | request partial-head reset
    once=502                      | request partial-head close
    once=502                      | request partial-body reset
    once=502                      | request partial-body close
    once=502                      | request partial-chunk reset
    once=502                      | request partial-chunk close
    once=502                      | request reset
    once=502                      | request close
    once=502                      | request not-http close
    once=502                      | request status-101
    once=502                      | request wrong-id
    once=502                      | request unmarked-503
    once=502                      | request unmarked-429
    once=502                      | request unmarked-408
    once=500                      | request status-500
    brief=504 scripts-ended       | request read-to-end
    once=ok                       | request not-executed ; request ok
    once=ok                       | request misdirected ; request ok
    once=502                      | request not-executed ; request reset
    once=503                      | request not-executed ; request not-executed
    once=503                      | request misdirected ; request not-executed ; request not-executed
    once=ok                       | request misdirected ; request not-executed ; request ok

    again=ok                      | request unframed close
    again=ok                      | request unframed reset ; request ok
    again=ok                      | request partial-head reset ; request ok
    again=ok                      | request partial-body reset ; request ok
    again=ok                      | request partial-body close ; request ok
    again=ok                      | request partial-chunk close ; request ok
    again=ok                      | request reset ; request ok
    again=ok                      | request wrong-id ; request ok
    again=ok                      | request not-http close ; request ok
    again=ok                      | request status-101 ; request ok
    again=ok                      | request status-500 ; request ok
    again=500                     | request status-500 ; request status-500
    again=502                     | request reset ; request not-executed
    again=502                     | request reset ; request reset
    brief-again=504 scripts-ended | request read-to-end
";

/// Second requests on connections to servers that were kept open.
pub const REUSED: &str = "
    once=ok reuse-delay once=ok                 | request ok request ok
    once=ok reuse-delay once=502                | request ok reset-unread
    once=ok reuse-delay once=502                | request ok request reset
    once=ok reuse-delay once=502                | request ok request wrong-id
    once=ok reuse-delay once=ok                 | request ok close ; request ok
    once=ok reuse-delay once=ok scripts-ended   | request ok ok read-to-end ; request ok
    once=ok reuse-delay once=ok scripts-ended   | request ok-close ok read-to-end ; request ok
    once=ok reuse-delay once=ok                 | request unframed close ; request ok
    again=ok reuse-delay again=502              | request ok reset-unread
    again=ok reuse-delay again=ok scripts-ended | request ok wrong-id read-to-end ; request ok
    once=500 reuse-delay once=ok                | request status-500 request ok
";

/// Responses that arrive before the server has read the body of the request.
pub const EARLY: &str = "
    once=ok reuse-delay once=ok                       | head ok body request ok
    once+long=ok scripts-ended                        | head ok read-to-end
    once+long=ok scripts-ended                        | head not-executed read-to-end ; request ok
    once+long=ok reuse-delay once=ok scripts-ended    | head ok read-to-end ; request ok
    once+long=ok reuse-delay once=ok scripts-ended    | head ok-close read-to-end ; request ok
    once+long=502                                     | head reset
    once+long=502                                     | head partial-body reset
    once+long=ok scripts-ended                        | head not-executed read-to-end ; request ok
    once+long=500 reuse-delay once=ok scripts-ended   | head status-500 read-to-end ; request ok
    again+long=ok reuse-delay once=ok scripts-ended   | head ok read-to-end ; request ok
    again+long=ok                                     | head reset ; request ok
    stream+long=1,2 reuse-delay once=ok scripts-ended | head stream event:1 event:2 end read-to-end ; request ok
";

/// Streams of events that are not resumable, and those that are.
pub const STREAMS: &str = "
    stream=1,2                   | request stream event:1 event:2 end
    stream=1,2                   | request unframed-stream raw:1 raw:2 close
    stream=1,truncated           | request unframed-stream raw:1 until:1 reset
    stream=1,truncated           | request stream event:1 until:1 reset
    stream=1,truncated           | request stream event:1 until:1 close
    stream=truncated             | request stream until:head close
    stream=502                   | request reset
    stream=502                   | request partial-head reset
    stream=502                   | request wrong-id
    stream=502                   | request unmarked-503
    stream=1                     | request not-executed ; request stream event:1 end
    stream=503                   | request not-executed ; request not-executed
    stream=1 reuse-delay once=ok | request stream event:1 end request ok

    resume=1,2                   | request stream event:1 until:1 reset ; request stream event:2 end
    resume=1,2                   | request stream event:1 partial:2 until:1 reset ; request stream event:2 end
    resume=1,2                   | request stream event:1 partial:2 until:1 close ; request stream event:2 end
    resume=1,2                   | request stream event:1 until:1 close ; request stream event:1 event:2 end
    resume=1,2                   | request unframed-stream raw:1 until:1 reset ; request stream event:2 end
    resume=1,2                   | request stream event:1 until:1 reset ; request unframed-stream raw:2 close
    resume=1,2                   | request unframed-stream raw:1 raw-partial:2 until:1 close ; request stream event:2 end
    resume=1,truncated           | request unframed-stream raw:1 raw-partial:2 until:1 close ; request not-executed
    resume=1                     | request reset ; request stream event:1 end
    resume=1                     | request wrong-id ; request stream event:1 end
    resume=1,truncated           | request stream event:1 until:1 reset ; request wrong-id
    resume=1,truncated           | request stream event:1 until:1 reset ; request not-executed
    resume=1,truncated           | request stream event:1 until:1 reset ; request stream reset
    resume=1,2,truncated         | request stream event:1 until:1 reset ; request stream event:2 partial:3 until:2 reset
    resume=502                   | request reset ; request reset
";
