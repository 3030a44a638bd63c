//! One module a case; each returns whether its rule was broken.

mod crashing_request;
mod foreign_memory;
mod leaving_replica;
mod refused_head;
mod silent_second;

use std::io;

/// The configuration of the deployment: streams that may be resumed, streams that may not, orders
/// and lookups.
pub const CONFIG: &str = r#"{"version":VERSION,"routes":[
{"name":"r-draft","hostname":"ficu95.example","prefix":"/draft/","route-type":"streaming","timeout-ms":25000,"target-latency-ms":4500,"priority":1,"service":"stub-model","max-attempts":5,"public":false,"session-affinity":true,"stream-resume":true,"gap-aim-ms":700},
{"name":"r-once","hostname":"ficu95.example","prefix":"/once/","route-type":"streaming","timeout-ms":25000,"target-latency-ms":4500,"priority":1,"service":"stub-model","max-attempts":5,"public":false,"session-affinity":true,"stream-resume":false,"gap-aim-ms":700},
{"name":"r-order","hostname":"ficu95.example","prefix":"/order/","route-type":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"order-desk","max-attempts":1,"public":false},
{"name":"r-status","hostname":"ficu95.example","prefix":"/status/","route-type":"idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"order-desk","max-attempts":2,"public":false}],
"services":[
{"name":"stub-model","health-path":"/health","max-conns":720,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":88000,"kv-token-bytes":18432,"link-mbps":88000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":4.0,"models":[{"name":"m"}]}},
{"name":"order-desk","health-path":"/health","max-conns":192,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

pub fn config(version: u64) -> String {
    CONFIG.replace("VERSION", &version.to_string()).replace('\n', "")
}

/// Runs a case and writes its record to `record`.
pub fn run(name: &str, record: &str) -> io::Result<bool> {
    match name {
        "crashing-request" => crashing_request::run(record),
        "foreign-memory" => foreign_memory::run(record),
        "leaving-replica" => leaving_replica::run(record),
        "refused-head" => refused_head::run(record),
        "silent-second" => silent_second::run(record),
        _ => Err(io::Error::other(format!("no case {name:?}"))),
    }
}
