//! A zone is evacuated and taken back, and its servers have become cold shortly before that. Right after it the processes
//! of the front machine are killed; the platform starts them again.

use crate::deployment::*;
use std::sync::{Arc, Mutex};

/// `WarmupS` and `WarmupPerS` of the service, and the bound of FAILBACK: `WarmupPerS` x `WarmupOvershoot` + `WarmupSlack`.
const WARMUP_S: f64 = 3.0;
const BOUND: f64 = 11.0 * 1.5 + 5.0;

pub fn play() -> i32 {
    let trouble = has_trouble();
    let record = Record::new(&record_path());
    let deployment = Deployment::new();
    let servers = Arc::new(Mutex::new(Vec::new()));
    let start_server = |host: u8, zone: usize, cold: f64| {
        Server::start(&record, deployment.address(host, 25), "quill-dispatch", ZONES[zone].0, cold)
    };
    let old: Vec<Arc<Server>> = (0..1).map(|n| start_server(150 + n, 0, 0.0)).collect();
    let others: Vec<Arc<Server>> =
        (0..3).map(|n| start_server(154 + n, 1 + usize::from(n == 2), 0.0)).collect();
    servers.lock().unwrap().extend(old.iter().chain(&others).cloned());
    let platform = Platform::start(&record, *deployment.platform.lock().unwrap(), &servers, 0.8);
    deployment.start_all();
    let taken = configure(
        &deployment,
        0,
        "{\"Version\":1,\"Routes\":[{\"Name\":\"tickets\",\"Host\":\"desk.example\",\"PathPrefix\":\"/tickets/\",\
         \"Kind\":\"non_idempotent\",\"TimeoutMs\":6000,\"TargetLatencyMs\":400,\"Priority\":0,\
         \"Service\":\"quill-dispatch\",\"MaxAttempts\":1,\"HomeRegions\":[]}],\"Services\":[{\"Name\":\"quill-dispatch\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\
         \"WarmupPerS\":11.0}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}",
    );
    if !taken {
        deployment.stop();
        cannot_run("the configuration was not taken");
    }
    record.line("the configuration is taken");
    let start = record.now() + 2.0;
    sleep_until(&record, start);
    let clients =
        Clients::start(&record, deployment.front_address(), "desk.example", "/tickets/new", 65, 129.0);
    sleep_until(&record, start + 4.0);
    let warm = clients.outcomes();
    if !warm.iter().any(|outcome| outcome.status == 200 && outcome.is_own) {
        record.line(&format!("nothing is served before the disruption: {}", by_status(&warm)));
        deployment.stop();
        cannot_run("nothing is served before the disruption");
    }

    let order = |name: &str| {
        let path = format!("/v1/Evacuate.{name}/{}", ZONES[0].0);
        let answer = operate(&deployment, "POST", &path, "", b"", std::time::Duration::from_secs(5));
        let status = answer.map(|(status, _)| status);
        record.line(&format!("{path}: {status:?}"));
        status == Some(200)
    };
    if !order("Start") {
        deployment.stop();
        cannot_run("the evacuation was not acknowledged");
    }
    sleep_until(&record, start + 8.0);
    old.iter().for_each(|server| server.become_cold(WARMUP_S));
    record.line("the servers of the zone have become cold, and the evacuation ends");
    if !order("End") {
        deployment.stop();
        cannot_run("the end of the evacuation was not acknowledged");
    }
    let ended_at = record.now();
    if trouble {
        sleep_until(&record, ended_at + 0.1);
        for role in ["proxy", "agent"] {
            deployment.signal(role, &deployment.front, SIGKILL);
            deployment.has_ended(role, &deployment.front, std::time::Duration::from_secs(1));
        }
        record.line("SIGKILL to the agent and the proxy of the front machine");
        sleep_until(&record, ended_at + 0.2);
        deployment.start("agent", &deployment.front, false);
        deployment.start("proxy", &deployment.front, false);
        record.line("both are started again");
    }
    sleep_until(&record, ended_at + 5.0);
    clients.stop();
    sleep_until(&record, ended_at + 5.5);
    let own_ends = deployment.ended();
    deployment.stop();

    let outcomes = clients.outcomes();
    let sent: std::collections::BTreeMap<&str, f64> =
        outcomes.iter().map(|outcome| (outcome.id.as_str(), outcome.sent)).collect();
    let mut worst = 0;
    for server in old.iter().chain(&others) {
        let arrivals = server.arrivals();
        let cold: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.is_cold).collect();
        // Counted are the requests that were both sent and arrived within the second.
        let within = |from: f64| {
            let is_counted = |arrival: &&&Arrival| {
                let sent = sent.get(arrival.id.as_str()).copied().unwrap_or(arrival.at);
                sent >= from && arrival.at < from + 1.0
            };
            cold.iter().filter(is_counted).count()
        };
        let starts = cold.iter().map(|arrival| sent.get(arrival.id.as_str()).copied().unwrap_or(arrival.at));
        let most = starts.map(within).max().unwrap_or(0);
        worst = worst.max(most);
        let fallen = server.fallen_at().map_or(String::new(), |at| format!(", fell over at {at:.3} s"));
        record.line(&format!(
            "server {} in {}: {} requests ran, {} while cold, at most {most} of them within a second{fallen}",
            server.id,
            server.zone,
            arrivals.len(),
            cold.len()
        ));
    }
    let during: Vec<Outcome> = outcomes.iter().filter(|outcome| outcome.ended > ended_at).cloned().collect();
    record.line(&format!("the list was read {} times", platform.readings()));
    record.line(&format!(
        "answers until the end of the evacuation: {}",
        by_status(&outcomes[..outcomes.len() - during.len()])
    ));
    record.line(&format!("answers from then on: {}", by_status(&during)));
    record.line(&format!("processes that ended by themselves: {own_ends:?}"));
    let all: Vec<Arc<Server>> = old.iter().chain(&others).cloned().collect();
    write_details(&record, &all, &outcomes);
    if worst as f64 > BOUND {
        record.line(&format!(
            "FAILBACK broken: a cold server got {worst} requests within a second; the bound is {BOUND}"
        ));
        1
    } else {
        record
            .line(&format!("FAILBACK held: at most {worst} requests within a second; the bound is {BOUND}"));
        0
    }
}
