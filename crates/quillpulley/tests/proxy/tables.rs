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
//! A result is `ok`, an error status, or the ids of the events that the client receives, with `cut` at the
//! end if the response is truncated or missing. The step `idle` waits until a connection to a server may be
//! reused, and the step `over` waits until all started scripts have ended.
//!
//! The right column lists the scripts of the servers (see `support/script.rs`), separated by `;`. Each
//! connection runs the next one.

/// Responses that are not streamed: complete, truncated or missing.
pub const UNSTREAMED: &str = "
    once=ok                     | request ok
    once=ok                     | request chunked
    once=ok                     | request last
    once=ok                     | request hint ok
    once=ok                     | request bare close
    once=502                    | request bare reset
    once=502                    | request half-head reset
    once=502                    | request half-head close
    once=502                    | request half-body reset
    once=502                    | request half-body close
    once=502                    | request half-chunk reset
    once=502                    | request half-chunk close
    once=502                    | request reset
    once=502                    | request close
    once=502                    | request noise close
    once=502                    | request switch
    once=502                    | request other
    once=502                    | request plain-503
    once=502                    | request plain-429
    once=502                    | request plain-408
    once=500                    | request failed
    brief=504 over                      | request mute
    once=ok                     | request declined ; request ok
    once=ok                     | request misdirected ; request ok
    once=502                    | request declined ; request reset
    once=503                    | request declined ; request declined
    once=503                    | request misdirected ; request declined ; request declined
    once=ok                     | request misdirected ; request declined ; request ok

    again=ok                    | request bare close
    again=ok                    | request bare reset ; request ok
    again=ok                    | request half-head reset ; request ok
    again=ok                    | request half-body reset ; request ok
    again=ok                    | request half-body close ; request ok
    again=ok                    | request half-chunk close ; request ok
    again=ok                    | request reset ; request ok
    again=ok                    | request other ; request ok
    again=ok                    | request noise close ; request ok
    again=ok                    | request switch ; request ok
    again=ok                    | request failed ; request ok
    again=500                   | request failed ; request failed
    again=502                   | request reset ; request declined
    again=502                   | request reset ; request reset
    brief-again=504 over                | request mute
";

/// Second requests on connections to servers that were kept open.
pub const REUSED: &str = "
    once=ok idle once=ok        | request ok request ok
    once=ok idle once=502       | request ok forget
    once=ok idle once=502       | request ok request reset
    once=ok idle once=502       | request ok request other
    once=ok idle once=ok        | request ok close ; request ok
    once=ok idle once=ok over           | request ok ok mute ; request ok
    once=ok idle once=ok over           | request last ok mute ; request ok
    once=ok idle once=ok        | request bare close ; request ok
    again=ok idle again=502     | request ok forget
    again=ok idle again=ok over         | request ok other mute ; request ok
    once=500 idle once=ok       | request failed request ok
";

/// Responses that arrive before the server has read the body of the request.
pub const EARLY: &str = "
    once=ok idle once=ok        | head ok body request ok
    once+long=ok over           | head ok mute
    once+long=ok over           | head declined mute ; request ok
    once+long=ok idle once=ok over      | head ok mute ; request ok
    once+long=ok idle once=ok over      | head last mute ; request ok
    once+long=502               | head reset
    once+long=502               | head half-body reset
    once+long=ok over                   | head declined mute ; request ok
    once+long=500 idle once=ok over     | head failed mute ; request ok
    again+long=ok idle once=ok over     | head ok mute ; request ok
    again+long=ok               | head reset ; request ok
    stream+long=1,2 idle once=ok over   | head stream event:1 event:2 end mute ; request ok
";

/// Streams of events that are not resumable, and those that are.
pub const STREAMS: &str = "
    stream=1,2                  | request stream event:1 event:2 end
    stream=1,2                  | request bare-stream raw:1 raw:2 close
    stream=1,cut                | request bare-stream raw:1 until:1 reset
    stream=1,cut                | request stream event:1 until:1 reset
    stream=1,cut                | request stream event:1 until:1 close
    stream=cut                  | request stream until:head close
    stream=502                  | request reset
    stream=502                  | request half-head reset
    stream=502                  | request other
    stream=502                  | request plain-503
    stream=1                    | request declined ; request stream event:1 end
    stream=503                  | request declined ; request declined
    stream=1 idle once=ok       | request stream event:1 end request ok

    resume=1,2                  | request stream event:1 until:1 reset ; request stream event:2 end
    resume=1,2                  | request stream event:1 part:2 until:1 reset ; request stream event:2 end
    resume=1,2                  | request stream event:1 part:2 until:1 close ; request stream event:2 end
    resume=1,2                  | request stream event:1 until:1 close ; request stream event:1 event:2 end
    resume=1,2                  | request bare-stream raw:1 until:1 reset ; request stream event:2 end
    resume=1,2                  | request stream event:1 until:1 reset ; request bare-stream raw:2 close
    resume=1                    | request reset ; request stream event:1 end
    resume=1                    | request other ; request stream event:1 end
    resume=1,cut                | request stream event:1 until:1 reset ; request other
    resume=1,cut                | request stream event:1 until:1 reset ; request declined
    resume=1,cut                | request stream event:1 until:1 reset ; request stream reset
    resume=1,2,cut              | request stream event:1 until:1 reset ; request stream event:2 part:3 until:2 reset
    resume=502                  | request reset ; request reset
";
