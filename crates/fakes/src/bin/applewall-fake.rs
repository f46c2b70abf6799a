//! One scripted peer, started by hand. Says where it listens, and ends by itself.

#![expect(
    clippy::min_ident_chars,
    reason = "short names are spelled out as the module is reworked"
)]
#![expect(
    clippy::too_many_lines,
    reason = "long functions are split as the module is reworked"
)]

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use applewall_fakes::clients::{SlowClientCounts, SlowClients};
use applewall_fakes::consul::ConsulAgent;
use applewall_fakes::discovery::{target, Discovery};
use applewall_fakes::etcd::EtcdServer;
use applewall_fakes::instance::{Instance, ResponseBehavior, Script};

const USAGE: &str =
    "usage: applewall-fake instance [--body N] [--odd ONE_IN] [--manner NAME] | discovery ADDRESS... \
    | etcd KEY=VALUE... | consul KEY=VALUE... | slow-readers ADDRESS [--many N]   [--seconds N]
manners: trickle, trickle-body, head-only, all-but-one, burst, chunks";

struct Call {
    kind: String,
    words: Vec<String>,
    body: usize,
    odd: Option<u32>,
    manner: ResponseBehavior,
    many: usize,
    time: Duration,
}

fn manner(name: &str) -> Result<ResponseBehavior, String> {
    Ok(match name {
        "trickle" => ResponseBehavior::ByteByByte,
        "trickle-body" => ResponseBehavior::BodyByteByByte,
        "head-only" => ResponseBehavior::HeadOnly,
        "all-but-one" => ResponseBehavior::AllButLastByte,
        "burst" => ResponseBehavior::PauseInBody(Duration::from_millis(300)),
        "chunks" => ResponseBehavior::ChunkPerByte,
        other => return Err(format!("unknown manner '{other}'")),
    })
}

fn call() -> Result<Call, String> {
    use lexopt::prelude::*;
    let mut call = Call {
        kind: String::new(),
        words: Vec::new(),
        body: 64,
        odd: None,
        manner: ResponseBehavior::BodyByteByByte,
        many: 100,
        time: Duration::from_secs(600),
    };
    let mut parser = lexopt::Parser::from_env();
    let text = |e: lexopt::Error| e.to_string();
    while let Some(arg) = parser.next().map_err(text)? {
        match arg {
            Long("body") => call.body = parser.value().and_then(|v| v.parse()).map_err(text)?,
            Long("odd") => call.odd = Some(parser.value().and_then(|v| v.parse()).map_err(text)?),
            Long("manner") => {
                call.manner = manner(
                    &parser
                        .value()
                        .and_then(lexopt::ValueExt::string)
                        .map_err(text)?,
                )?;
            }
            Long("many") => call.many = parser.value().and_then(|v| v.parse()).map_err(text)?,
            Long("seconds") => {
                call.time =
                    Duration::from_secs(parser.value().and_then(|v| v.parse()).map_err(text)?);
            }
            Value(word) if call.kind.is_empty() => call.kind = word.string().map_err(text)?,
            Value(word) => call.words.push(word.string().map_err(text)?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok(call)
}

fn pairs(words: &[String]) -> Result<Vec<(&str, &str)>, String> {
    words
        .iter()
        .map(|w| w.split_once('=').ok_or(format!("'{w}' is no KEY=VALUE")))
        .collect()
}

async fn run(call: Call) -> Result<(), String> {
    let text = |e: std::io::Error| e.to_string();
    match call.kind.as_str() {
        "instance" => {
            let odd = call
                .odd
                .filter(|n| *n > 0)
                .map(|one_in| (one_in, call.manner));
            let instance = Instance::start(Script {
                body_bytes: call.body,
                odd,
                ..Script::default()
            })
            .await
            .map_err(text)?;
            println!("instance on {}", instance.address);
            tokio::time::sleep(call.time).await;
            println!(
                "requests {}",
                instance.recorded.requests.load(Ordering::Relaxed)
            );
        }
        "discovery" => {
            let entry = |(i, word): (usize, &String)| {
                let address: SocketAddr = word
                    .parse()
                    .map_err(|_| format!("'{word}' is no address"))?;
                Ok::<_, String>(target(&format!("s-{i}"), address, "in_service"))
            };
            let list = call
                .words
                .iter()
                .enumerate()
                .map(entry)
                .collect::<Result<_, _>>()?;
            let discovery = Discovery::start(list).await.map_err(text)?;
            println!("discovery on {}", discovery.address);
            tokio::time::sleep(call.time).await;
        }
        "etcd" => {
            let registry = EtcdServer::new(1, 0);
            for (key, value) in pairs(&call.words)? {
                registry.put(key, value);
            }
            println!("etcd on {}", registry.listen().await.map_err(text)?);
            tokio::time::sleep(call.time).await;
            println!("reads {}", registry.calls.ranges.load(Ordering::Relaxed));
        }
        "consul" => {
            let agent = ConsulAgent::start().await.map_err(text)?;
            for (key, value) in pairs(&call.words)? {
                agent.put(key, Some(value));
            }
            println!("consul on {}", agent.address);
            tokio::time::sleep(call.time).await;
        }
        "slow-readers" => {
            let to = call
                .words
                .first()
                .and_then(|w| w.parse::<SocketAddr>().ok())
                .ok_or(USAGE)?;
            if !to.ip().is_loopback() {
                return Err("slow readers go to loopback only".to_string());
            }
            let seen = Arc::new(SlowClientCounts::default());
            let slow = SlowClients {
                address: to,
                count: call.many,
                arrival_window: Duration::from_millis(50),
                byte_interval: Some(Duration::from_millis(100)),
                reconnect_delay: Duration::from_millis(500),
                duration: call.time,
                receive_buffer_bytes: 4_096,
                upload_bytes: 0,
            };
            slow.run(seen.clone()).await;
            println!(
                "ended by the other side {}",
                seen.closed_by_daemon.load(Ordering::Relaxed)
            );
        }
        _ => return Err(USAGE.to_string()),
    }
    Ok(())
}

fn main() -> ExitCode {
    let result = call().and_then(|call| {
        let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
        runtime.block_on(run(call))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("applewall-fake: {reason}");
            ExitCode::FAILURE
        }
    }
}
