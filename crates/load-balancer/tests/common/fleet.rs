//! A simulation of a fleet: servers with inference engines, the proxies in front of them, and their clients.
#![allow(dead_code)]

use super::{balancer_with, engine, locality, ms, options, proxy_peer, ENGINE};
use quillpulley_load_balancer::{
    Ablation, Balancer, Choice, Demand, Outcome, PromptSegment, ProxyPeer, ServerKey, Ticket,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// The duration of a step of an engine without any tokens, in milliseconds.
const STEP_MS: f64 = 5.23;
/// The number of tokens that an engine prefills per millisecond.
const TOKENS_PER_MS: f64 = 38.4;
/// The maximum number of tokens that an engine prefills in a step.
const CHUNK_TOKENS: u32 = 2_048;
/// Prefilling a token takes longer with a longer context. This is the time in milliseconds for a million
/// pairs of a prefilled token and a token of its context.
const MS_PER_MILLION_PAIRS: f64 = 0.647;
/// The number of tokens in an event of a streamed response, and the maximum time between two events.
const EVENT_TOKENS: u32 = 5;
const MAX_EVENT_GAP: Duration = Duration::from_millis(400);
/// The maximum ratio of a random length to its mean.
const MAX_LENGTH_FACTOR: f64 = 14.0;
/// The number of tokens that the memory of an engine holds.
const MEMORY_TOKENS: u64 = 225_711;
/// The interval at which proxies exchange their loads, and the age of the loads when they arrive.
const LOAD_EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
const LOAD_EXCHANGE_DELAY: Duration = Duration::from_millis(300);
/// A shared segment that is prefilled within this time after its latest use counts as prefilled again.
const REUSE_WINDOW: Duration = Duration::from_secs(10);

/// A kind of request, with the means of its random lengths.
pub struct RequestKind {
    /// The mean number of requests per second.
    pub requests_per_s: f64,
    /// For each of the two shared segments of a prompt, the number of different segments and their mean
    /// length in tokens.
    pub shared_segments: [(u64, u32); 2],
    pub own_tokens: u32,
    pub output_tokens: u32,
    pub body_bytes: usize,
    pub priority: u32,
    pub target_latency: Duration,
    pub home_regions: Vec<String>,
}

pub struct Options {
    pub server_zones: Vec<&'static str>,
    pub proxy_zones: Vec<&'static str>,
    pub kinds: Vec<RequestKind>,
    pub seed: u64,
    pub duration: Duration,
    pub ablation: Ablation,
}

#[derive(Default, Debug)]
pub struct Metrics {
    pub requests: usize,
    pub rejected: usize,
    /// Requests whose first token came after the target latency, although the prefill takes less than half of
    /// it.
    pub late: usize,
    /// Requests with a pause longer than [`MAX_EVENT_GAP`] between two events of the response.
    pub paused: usize,
    /// Tokens in the shared segments of all requests.
    pub shared: u64,
    /// Tokens in shared segments that a server prefilled within [`REUSE_WINDOW`] after their latest use at
    /// any server.
    pub prefilled_again: u64,
    /// Requests that were sent to another region.
    pub other_region: usize,
    /// The bytes of those requests and of their responses.
    pub other_region_bytes: u64,
    /// The maximum number of requests that ran at one engine at the same time.
    pub most_running: usize,
}

/// A request that is queued or runs at an engine.
struct EngineRequest {
    /// The index of its proxy.
    proxy: usize,
    target_latency: Duration,
    ticket: Option<Ticket>,
    sent: Duration,
    remaining_prefill: u32,
    /// The number of tokens to prefill when the prefill began.
    prefill_tokens: u32,
    segments: Vec<PromptSegment>,
    remaining_output: u32,
    has_started: bool,
    /// The number of tokens since the latest event of its response.
    tokens_since_event: u32,
    /// The time of the latest event.
    last_event_at: Duration,
    /// Whether an event came too late.
    paused: bool,
    /// The number of tokens that the request needs in the memory of the engine.
    memory_tokens: u64,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<EngineRequest>,
    running: Vec<EngineRequest>,
    /// The cached segments by id, with their length in tokens and the time of their latest use.
    cached: HashMap<u64, (u32, Duration)>,
    busy_until: Duration,
}

pub struct Fleet {
    options: Options,
    random: fastrand::Rng,
    proxies: Vec<ProxyPeer>,
    balancers: Vec<Balancer>,
    engines: BTreeMap<ServerKey, Engine>,
    /// The zone of each server. A server has the same key at all balancers, because servers are added in the
    /// same order.
    zones: HashMap<ServerKey, &'static str>,
    /// The time of the latest use of each segment at any server.
    last_use: HashMap<u64, Duration>,
    /// The summed loads that the proxies have not received yet, with the times at which they arrive.
    totals: VecDeque<(Duration, HashMap<u64, quillpulley_protocol::ServerLoad>)>,
    pub metrics: Metrics,
    /// The length of each shared segment in tokens.
    segment_lengths: HashMap<u64, u32>,
}

impl Fleet {
    pub fn new(fleet_options: Options) -> Self {
        let zones = fleet_options.proxy_zones.iter().enumerate();
        let proxies: Vec<ProxyPeer> = zones.map(|(n, zone)| proxy_peer(&format!("l{n}"), zone)).collect();
        let mut balancers: Vec<Balancer> =
            proxies.iter().map(|own| new_balancer(own, &proxies, fleet_options.ablation)).collect();
        let mut engines = BTreeMap::new();
        let mut zones = HashMap::new();
        for (n, zone) in fleet_options.server_zones.iter().enumerate() {
            for balancer in &mut balancers {
                let key = balancer.put_server(Duration::ZERO, &engine(&format!("s{n}"), zone));
                let key = key.expect("the address is valid");
                engines.entry(key).or_default();
                zones.insert(key, *zone);
            }
        }
        let random = fastrand::Rng::with_seed(fleet_options.seed);
        Fleet {
            random,
            proxies,
            balancers,
            engines,
            zones,
            last_use: HashMap::new(),
            totals: VecDeque::new(),
            metrics: Metrics::default(),
            segment_lengths: HashMap::new(),
            options: fleet_options,
        }
    }

    pub fn run(mut self) -> Metrics {
        let total_requests_per_s: f64 = self.options.kinds.iter().map(|kind| kind.requests_per_s).sum();
        let mut now = Duration::ZERO;
        let mut next_arrival = Duration::ZERO;
        let mut next_exchange = Duration::ZERO;
        while now < self.options.duration {
            now += ms(1);
            while next_arrival <= now {
                self.send_random_request(now);
                let gap_s = -(1.0 - self.random.f64()).ln() / total_requests_per_s;
                next_arrival += Duration::from_secs_f64(gap_s);
            }
            if next_exchange <= now {
                self.exchange_loads(now);
                next_exchange = now + LOAD_EXCHANGE_INTERVAL;
            }
            self.deliver_totals(now);
            let keys: Vec<ServerKey> = self.engines.keys().copied().collect();
            for key in keys {
                self.step(now, key);
            }
        }
        self.metrics
    }

    /// Sums the loads of all proxies, to be delivered later.
    fn exchange_loads(&mut self, now: Duration) {
        let mut sums: HashMap<u64, quillpulley_protocol::ServerLoad> = HashMap::new();
        for balancer in &mut self.balancers {
            for load in balancer.own_loads(now) {
                let sum = sums.entry(load.server).or_insert(quillpulley_protocol::ServerLoad {
                    server: load.server,
                    running: 0,
                    waiting: 0,
                    prompt_tokens: 0,
                    failures: 0,
                });
                sum.running += load.running;
                sum.waiting += load.waiting;
                sum.prompt_tokens += load.prompt_tokens;
            }
        }
        self.totals.push_back((now + LOAD_EXCHANGE_DELAY, sums));
    }

    fn deliver_totals(&mut self, now: Duration) {
        while self.totals.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, sums)) = self.totals.pop_front() else { return };
            let loads: Vec<quillpulley_protocol::ServerLoad> = sums.into_values().collect();
            for balancer in &mut self.balancers {
                balancer.set_totals(now, &loads);
            }
        }
    }

    /// Returns the length of a shared segment, which is chosen at random at its first use.
    fn segment_length(&mut self, id: u64, mean: u32) -> u32 {
        let factor = self.random.f64() + 0.5;
        *self.segment_lengths.entry(id).or_insert((f64::from(mean) * factor) as u32)
    }

    /// Returns a random length with a log-normal distribution. As with real prompts, a few lengths are many
    /// times the mean.
    fn random_length(&mut self, mean: u32, sigma: f64) -> u32 {
        let radius = (-2.0 * (1.0 - self.random.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.random.f64()).cos();
        let factor = (sigma * normal - sigma * sigma / 2.0).exp();
        (f64::from(mean) * factor.min(MAX_LENGTH_FACTOR)) as u32 + 1
    }

    /// Sends a request of a random kind with random segments from a random proxy.
    fn send_random_request(&mut self, now: Duration) {
        let total_requests_per_s: f64 = self.options.kinds.iter().map(|kind| kind.requests_per_s).sum();
        let mut remaining = self.random.f64() * total_requests_per_s;
        let mut index = 0;
        while remaining >= self.options.kinds[index].requests_per_s {
            remaining -= self.options.kinds[index].requests_per_s;
            index += 1;
        }
        let zone = ["a1", "b1", "c1"][self.random.usize(..3)];
        let proxies_in_zone: Vec<usize> =
            (0..self.proxies.len()).filter(|proxy| self.proxies[*proxy].locality == locality(zone)).collect();
        let proxy = proxies_in_zone[self.random.usize(..proxies_in_zone.len())];
        let [first, second] = self.options.kinds[index].shared_segments;
        let second_index = self.random.u64(..second.0);
        let base = (index as u64 + 1) << 40;
        let (first_id, second_id) = (base + second_index % first.0, base + (1 << 32) + second_index);
        let own_id = self.random.u64(..) | 1 << 63;
        let own_tokens = self.random_length(self.options.kinds[index].own_tokens, 1.0);
        let segments = vec![
            PromptSegment { id: first_id, tokens: self.segment_length(first_id, first.1) },
            PromptSegment { id: second_id, tokens: self.segment_length(second_id, second.1) },
            PromptSegment { id: own_id, tokens: own_tokens },
        ];
        let output_tokens = self.random_length(self.options.kinds[index].output_tokens, 0.7);
        self.send(now, proxy, index, segments, output_tokens);
    }

    fn send(
        &mut self,
        now: Duration,
        proxy: usize,
        kind_index: usize,
        segments: Vec<PromptSegment>,
        output_tokens: u32,
    ) {
        let kind = &self.options.kinds[kind_index];
        let demand = Demand {
            service: ENGINE,
            home_regions: &kind.home_regions,
            segments: &segments,
            prompt_tokens: segments.iter().map(|segment| segment.tokens).sum(),
            output_tokens,
            body_bytes: kind.body_bytes,
            priority: kind.priority,
            target_latency: kind.target_latency,
            time_remaining: ms(5_000),
            sticky: true,
        };
        self.metrics.requests += 1;
        let Choice::Send(key) = self.balancers[proxy].choose(now, &demand, &[]) else {
            self.metrics.rejected += 1;
            return;
        };
        let ticket = self.balancers[proxy].begin(now, key, &demand);
        let (from, to) = (&self.proxies[proxy].locality, locality(self.zones[&key]));
        if from.region != to.region {
            self.metrics.other_region += 1;
            self.metrics.other_region_bytes += kind.body_bytes as u64 + u64::from(output_tokens) * 12;
        }
        let memory_tokens = u64::from(demand.prompt_tokens + demand.output_tokens);
        let request = EngineRequest {
            proxy,
            target_latency: kind.target_latency,
            ticket: Some(ticket),
            sent: now,
            remaining_prefill: 0,
            prefill_tokens: 0,
            remaining_output: output_tokens,
            has_started: false,
            tokens_since_event: 0,
            last_event_at: now,
            paused: false,
            memory_tokens,
            segments,
        };
        let engine = self.engines.get_mut(&key).expect("the server is known");
        engine.queue.push_back(request);
    }

    /// Runs one step of an engine: each running request whose prompt is prefilled gets a token, and up to
    /// [`CHUNK_TOKENS`] tokens of the other prompts are prefilled.
    fn step(&mut self, now: Duration, key: ServerKey) {
        let Some(engine) = self.engines.get_mut(&key) else { return };
        if now < engine.busy_until {
            return;
        }
        while engine.running.len() < 64 {
            let Some(mut request) = engine.queue.pop_front() else { break };
            let shared = &request.segments[..request.segments.len() - 1];
            let mut is_cached = true;
            for segment in shared {
                self.metrics.shared += u64::from(segment.tokens);
                is_cached = is_cached && engine.cached.contains_key(&segment.id);
                if !is_cached {
                    request.remaining_prefill += segment.tokens;
                    if self.last_use.get(&segment.id).is_some_and(|at| now.saturating_sub(*at) < REUSE_WINDOW)
                    {
                        self.metrics.prefilled_again += u64::from(segment.tokens);
                    }
                }
                engine.cached.insert(segment.id, (segment.tokens, now));
                self.last_use.insert(segment.id, now);
            }
            request.remaining_prefill += request.segments[request.segments.len() - 1].tokens;
            request.prefill_tokens = request.remaining_prefill;
            engine.running.push(request);
        }
        engine.evict();
        self.metrics.most_running = self.metrics.most_running.max(engine.running.len());
        let mut remaining_chunk = CHUNK_TOKENS;
        let mut prefilled = 0;
        let mut attention_ms = 0.0;
        let mut ended = Vec::new();
        for (index, request) in engine.running.iter_mut().enumerate() {
            if request.remaining_prefill > 0 {
                let chunk = request.remaining_prefill.min(remaining_chunk);
                request.remaining_prefill -= chunk;
                remaining_chunk -= chunk;
                prefilled += chunk;
                let context = request.memory_tokens.saturating_sub(u64::from(request.remaining_prefill));
                attention_ms += f64::from(chunk) * context as f64 / 1e6 * MS_PER_MILLION_PAIRS;
                continue;
            }
            if !request.has_started {
                request.has_started = true;
                request.last_event_at = now;
                if let Some(ticket) = &request.ticket {
                    self.balancers[request.proxy].record_started(now, ticket);
                }
                let prefill_time =
                    Duration::from_secs_f64(f64::from(request.prefill_tokens) / TOKENS_PER_MS / 1e3);
                if now - request.sent > request.target_latency && prefill_time < request.target_latency / 2 {
                    self.metrics.late += 1;
                }
            }
            request.tokens_since_event += 1;
            if request.tokens_since_event == EVENT_TOKENS || request.remaining_output <= 1 {
                self.metrics.paused +=
                    usize::from(!request.paused && now - request.last_event_at > MAX_EVENT_GAP);
                request.paused |= now - request.last_event_at > MAX_EVENT_GAP;
                request.tokens_since_event = 0;
                request.last_event_at = now;
            }
            request.remaining_output = request.remaining_output.saturating_sub(1);
            if request.remaining_output == 0 {
                ended.push(index);
            }
        }
        let step_ms = STEP_MS
            + f64::from(prefilled) / TOKENS_PER_MS
            + attention_ms
            + 0.00367 * engine.running.len() as f64;
        if !engine.running.is_empty() {
            engine.busy_until = now + Duration::from_secs_f64(step_ms / 1e3);
        }
        for index in ended.into_iter().rev() {
            let mut request = engine.running.remove(index);
            if let Some(ticket) = request.ticket.take() {
                self.balancers[request.proxy].end(now, ticket, Outcome::Completed);
            }
        }
    }
}

fn new_balancer(own: &ProxyPeer, proxies: &[ProxyPeer], ablation: Ablation) -> Balancer {
    let options = quillpulley_load_balancer::Options { ablation, ..options(&own.name) };
    balancer_with(options, &own.locality.zone, proxies)
}

impl Engine {
    /// Evicts the least recently used segments until the rest fits the memory.
    fn evict(&mut self) {
        let running: u64 = self.running.iter().map(|request| request.memory_tokens).sum();
        let mut used = running + self.cached.values().map(|(tokens, _)| u64::from(*tokens)).sum::<u64>();
        while used > MEMORY_TOKENS {
            let Some((id, (tokens, _))) = self.cached.iter().min_by_key(|(_, (_, at))| *at) else { return };
            let (id, tokens) = (*id, *tokens);
            used -= u64::from(tokens);
            self.cached.remove(&id);
        }
    }
}
