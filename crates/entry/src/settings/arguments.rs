//! Flags and environment variables of an entry.

use clap::Args;

/// Flags and environment variables as given.
///
/// [`super::Settings::check`] checks the values together, so that one start
/// reports every fault.
#[derive(Args, Clone)]
pub struct Arguments {
    /// Instance id, unique among the entries of the cell
    #[arg(long, env = "CAROBDRIFT_INSTANCE", value_name = "ID")]
    pub(super) instance: Option<String>,
    /// Cell: the entries that share a set of services
    #[arg(
        long,
        env = "CAROBDRIFT_CELL",
        value_name = "NAME",
        default_value = "main"
    )]
    pub(super) cell: String,
    /// Availability zone that this instance runs in
    #[arg(long, env = "CAROBDRIFT_ZONE", value_name = "NAME")]
    pub(super) zone: Option<String>,
    /// Region that this instance runs in
    #[arg(
        long,
        env = "CAROBDRIFT_REGION",
        value_name = "NAME",
        default_value = "main"
    )]
    pub(super) region: String,
    /// Address for callers; port 0 takes a free port
    #[arg(
        long,
        env = "CAROBDRIFT_CALLER_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:8080"
    )]
    pub(super) caller_listen: String,
    /// Address of the administration and discovery API
    #[arg(
        long,
        env = "CAROBDRIFT_ADMIN_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:8081"
    )]
    pub(super) admin_listen: String,
    /// Address for links of other entries
    #[arg(
        long,
        env = "CAROBDRIFT_PEER_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:8082"
    )]
    pub(super) peer_listen: String,
    /// IP address that callers and other entries use for this instance; the
    /// listening one when absent
    #[arg(long, env = "CAROBDRIFT_ADVERTISE_IP", value_name = "IP")]
    pub(super) advertise_ip: Option<String>,
    /// Address of the platform's table service, object store and instance list
    #[arg(long, env = "CAROBDRIFT_PLATFORM_ADDRESS", value_name = "IP:PORT")]
    pub(super) platform_address: Option<String>,
    /// Time within which the platform must answer, in milliseconds
    #[arg(
        long,
        env = "CAROBDRIFT_PLATFORM_TIMEOUT_MS",
        value_name = "MS",
        default_value = "1000"
    )]
    pub(super) platform_timeout_ms: String,
    /// Secret shared by the entries of the cell (at least 16 characters)
    #[arg(
        long,
        env = "CAROBDRIFT_PEER_SECRET",
        value_name = "SECRET",
        hide_env_values = true
    )]
    pub(super) peer_secret: Option<String>,
    /// Token that permits reading and editing of every document
    #[arg(
        long,
        env = "CAROBDRIFT_OPERATOR_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub(super) operator_token: Option<String>,
    /// Token of a team; may be repeated
    #[arg(
        long = "team-token",
        env = "CAROBDRIFT_TEAM_TOKENS",
        value_name = "TEAM=TOKEN",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(super) team_tokens: Vec<String>,
    /// Requests in progress and calls per second that a team's services may
    /// have together, over all entries; may be repeated
    #[arg(
        long = "team-limit",
        env = "CAROBDRIFT_TEAM_LIMITS",
        value_name = "TEAM=IN_FLIGHT/PER_SECOND",
        value_delimiter = ','
    )]
    pub(super) team_limits: Vec<String>,
    /// Largest number of entries that the cell may have
    #[arg(
        long,
        env = "CAROBDRIFT_MAX_ENTRIES",
        value_name = "N",
        default_value = "20"
    )]
    pub(super) max_entries: String,
    /// Calls per second of one service at one entry above which callers are
    /// steered to more entries
    #[arg(
        long,
        env = "CAROBDRIFT_STEERING_RATE",
        value_name = "N",
        default_value = "4000"
    )]
    pub(super) steering_rate: String,
    /// Time for which an idempotency key can be used after its prefix was
    /// issued, in milliseconds
    #[arg(
        long,
        env = "CAROBDRIFT_KEY_LIFETIME_MS",
        value_name = "MS",
        default_value = "600000"
    )]
    pub(super) key_lifetime_ms: String,
    /// Memory for records of idempotency keys, in bytes
    #[arg(
        long,
        env = "CAROBDRIFT_KEY_MEMORY_BYTES",
        value_name = "BYTES",
        default_value = "67108864"
    )]
    pub(super) key_memory_bytes: String,
    /// Table writes per second for caller-chosen idempotency keys
    #[arg(
        long,
        env = "CAROBDRIFT_KEY_WRITES_PER_SECOND",
        value_name = "N",
        default_value = "10"
    )]
    pub(super) key_writes_per_second: String,
    /// Longest deadline that a document may state, in milliseconds
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_DEADLINE_MS",
        value_name = "MS",
        default_value = "60000"
    )]
    pub(super) ceiling_deadline_ms: String,
    /// Longest time to live of address answers that a document may state, in
    /// milliseconds
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_TTL_MS",
        value_name = "MS",
        default_value = "30000"
    )]
    pub(super) ceiling_ttl_ms: String,
    /// Most requests in progress that a document may permit
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_IN_FLIGHT",
        value_name = "N",
        default_value = "100000"
    )]
    pub(super) ceiling_in_flight: String,
    /// Most calls per second that a document may permit
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_PER_SECOND",
        value_name = "N",
        default_value = "1000000"
    )]
    pub(super) ceiling_per_second: String,
    /// Most waiting requests of one class at one entry that a document may
    /// permit
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_QUEUE",
        value_name = "N",
        default_value = "10000"
    )]
    pub(super) ceiling_queue: String,
    /// Most probes per second and target that a document may permit
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_PROBES_PER_SECOND",
        value_name = "N",
        default_value = "10"
    )]
    pub(super) ceiling_probes_per_second: String,
    /// Most attempts per request that a document may permit
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_ATTEMPTS",
        value_name = "N",
        default_value = "5"
    )]
    pub(super) ceiling_attempts: String,
    /// Largest retry budget of a document, in percent of requests
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_RETRY_PERCENT",
        value_name = "PERCENT",
        default_value = "25"
    )]
    pub(super) ceiling_retry_percent: String,
    /// Largest hedge budget of a document, in percent of requests
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_HEDGE_PERCENT",
        value_name = "PERCENT",
        default_value = "10"
    )]
    pub(super) ceiling_hedge_percent: String,
    /// Most connections from one entry to one target that a document may permit
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_CONNECTIONS",
        value_name = "N",
        default_value = "1024"
    )]
    pub(super) ceiling_connections: String,
    /// Largest request body that a document may permit, in bytes
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_REQUEST_BYTES",
        value_name = "BYTES",
        default_value = "67108864"
    )]
    pub(super) ceiling_request_bytes: String,
    /// Largest response body that a document may permit, in bytes
    #[arg(
        long,
        env = "CAROBDRIFT_CEILING_RESPONSE_BYTES",
        value_name = "BYTES",
        default_value = "268435456"
    )]
    pub(super) ceiling_response_bytes: String,
    /// Time within which requests in progress must end when the entry drains, in
    /// milliseconds
    #[arg(
        long,
        env = "CAROBDRIFT_DRAIN_TIMEOUT_MS",
        value_name = "MS",
        default_value = "30000"
    )]
    pub(super) drain_timeout_ms: String,
    /// Lowest log level: off, error, warn, info, debug or trace
    #[arg(
        long,
        env = "CAROBDRIFT_LOG_LEVEL",
        value_name = "LEVEL",
        default_value = "info"
    )]
    pub(super) log_level: String,
    /// Format of log lines: plain or json
    #[arg(
        long,
        env = "CAROBDRIFT_LOG_FORMAT",
        value_name = "FORMAT",
        default_value = "plain"
    )]
    pub(super) log_format: String,
}
