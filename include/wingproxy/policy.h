/// \file
/// The interface of the decision module (src/policy): typed events in, typed actions out.
///
/// A `Policy` is the scheduler of one host, that is, of one front of the tier. The caller passes the events
/// of a batch to `on()` and then takes the actions of that batch from `finish()`. The caller also supplies
/// the time, in microseconds since the Unix epoch; it must never decrease. The module has no clock, no
/// threads and no source of randomness but `Settings::seed`: the same events always produce the same actions.
///
/// Not thread-safe: one thread, or one event loop, owns a `Policy`.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wingproxy/index.h"

namespace wingproxy::fleet {
class RestartRecovery;
}

namespace wingproxy {

/// A point in time or a duration, in microseconds.
using Micros = std::int64_t;
/// Identifies a request within one host; never reused.
using RequestId = std::uint64_t;

// ------------------------------------------------------------------------------------------------ settings

/// Whether a request that may have run at a node may be sent again.
enum class RetrySafety {
    Idempotent,         ///< yes, at any time
    IdempotentWithKey,  ///< yes, within `ClassInfo::keyWindowUs`: nodes deduplicate by the key
    NotIdempotent,      ///< no
};

/// Which nodes recognise a repeated idempotency key: all, those of one zone, or those of one cell.
enum class KeyScope { Global, Zone, Cell };

/// A request class, as the settings define it.
struct ClassInfo {
    std::string name;
    Micros latencyObjectiveUs = 0;  ///< responses within it have full value; 0: no objective
    Micros deadlineUs = 0;          ///< longest time that clients of this class wait
    Micros keyWindowUs = 0;         ///< how long nodes remember an idempotency key
    double priorityWeight = 1;      ///< value of one unit of work that is answered within the objective
    double lateWeight = 0;          ///< fraction of that value after the objective; not used by the policy
    RetrySafety retrySafety = RetrySafety::Idempotent;
    KeyScope keyScope = KeyScope::Global;
    bool stream = false;     ///< responses are long and forwarded as they arrive; not used by the policy
    bool fifoByKey = false;  ///< requests with the same key are sent one at a time, in order of arrival
    bool writes = false;     ///< requests modify data; not used by the policy
    /// Whether all fields are equal.
    bool operator==(const ClassInfo&) const = default;
};

/// A service plan: the rate limits and weights of one volume. Rates are in units of work per second.
struct PlanInfo {
    std::string name;
    double baseRate = 0;        ///< typical demand of a volume of this plan
    double guaranteedRate = 0;  ///< always admitted
    double shares = 1;          ///< weight in the capacity beyond the guaranteed rates
    double priorityFactor = 1;  ///< multiplies `ClassInfo::priorityWeight`
    double limit = 0;           ///< maximum rate over all hosts; 0: no limit
    double limitBurst = 0;      ///< largest burst, in units
    double limitSlack = 0;      ///< units by which the limit may be exceeded; not used by the policy
    /// Whether all fields are equal.
    bool operator==(const PlanInfo&) const = default;
};

/// Everything that differs from one deployment to another.
struct Settings {
    std::uint64_t seed = 0;  ///< the only source of randomness; differs between hosts
    HostIndex hostIndex{0};  ///< this host, below hostCount
    int hostCount = 1;       ///< hosts of the tier, this one included
    std::string zone;        ///< zone of this host
    std::vector<ClassInfo> classes;
    std::vector<PlanInfo> plans;
    std::vector<std::string> reportColumns;  ///< names of the fields of a node's load report
    /// Load reports come with health checks only, not with responses; not used by the policy.
    bool loadReportsOnlyByHealthCheck = false;

    // What the deployment permits.
    int maxAttempts = 1;          ///< attempts for one request, the first one included
    bool mayCheckHealth = false;  ///< `StartHealthCheck` actions are carried out
    bool mayGossip = false;       ///< hosts may send each other messages
    bool mayCancel = false;       ///< attempts may be cancelled
    bool hedging = false;  ///< a second attempt may start while the first one runs; not used by the policy
    bool sendsRetryAfter = false;       ///< rejections tell the client when to retry
    Micros connectTimeoutUs = 250'000;  ///< after which a connection attempt to a node has failed
    Micros maxRetryAfterUs = 0;         ///< upper bound of `RejectRequest::retryAfterUs`
    bool pollsEndpointList = false;     ///< the endpoint list must be polled; false: discovery pushes it

    // What the deployment requires; 0: not required.
    Micros responseSlackUs = 0;  ///< a final answer may be this late; not used by the policy
    Micros drainGraceUs = 0;     ///< how long a node may get new requests after its drain was announced
    Micros pollIntervalUs = 0;   ///< longest interval between two polls of the endpoint list
    Micros keyCooldownUs = 0;    ///< pause before the next request with a key whose last one may still run
    double retryRatio = 0;       ///< retries allowed per window, as a fraction of the requests in it
    double retryAllowance = 0;   ///< retries allowed per window in addition to that
    Micros retryWindowUs = 0;    ///< length of the window; 0: retries have no budget

    // Slow start: the capacity of a node grows for some time after its start.
    double slowStartCapacity = 1;        ///< capacity at the start, as a fraction of the full capacity
    double slowStartOverloadFactor = 0;  ///< load at which a node fails, as a multiple of its capacity
    double slowStartUnits = 0;           ///< units per window that any starting node handles, from all hosts
    Micros slowStartDurationUs = 0;      ///< time from the start of a node to full capacity
    Micros slowStartWindowUs = 0;        ///< window over which load is counted; 0: no limit during slow start

    // The size of requests, in units of work.
    double meanUnits = 1;         ///< mean size of a request
    double maxUnits = 1;          ///< largest size of a request
    double shareWeight = 1;       ///< value of a unit within the volume's weighted share
    double spareWeight = 1;       ///< value of a unit beyond it
    Micros meteringWindowUs = 0;  ///< window of the platform's usage metering; not used by the policy
    int cellCount = 0;            ///< number of cells, the groups of nodes that hold the same objects
    Micros roundUs = 0;           ///< length of a simulator round; not used by the policy

    /// The shortest latency objective of all classes; 0 if none has one.
    Micros shortestLatencyObjective() const {
        Micros shortest = 0;
        for (const auto& info : classes) {
            const Micros objective = info.latencyObjectiveUs;
            if (objective > 0 && (shortest == 0 || objective < shortest)) shortest = objective;
        }
        return shortest;
    }
    /// Whether all fields are equal; a reload uses it to detect that nothing changed.
    bool operator==(const Settings&) const = default;
};

// ------------------------------------------------------------------------------------------------ events

/// The state of a node according to discovery.
enum class NodeState {
    Ready,
    Draining,  ///< about to stop: new requests only within `Settings::drainGraceUs`
    Removed,   ///< no longer listed
};

/// One storage node, as discovery lists it.
struct NodeInfo {
    std::string id;    ///< the id that discovery gives it; unique within a list
    std::string zone;  ///< scope of idempotency keys under `KeyScope::Zone`
    CellIndex cell{0};
    double rating = 1;  ///< relative capacity from discovery; not used by the policy
    NodeState state = NodeState::Ready;
    Micros startedUs = 0;  ///< start of its process; 0: long ago
};

/// How an endpoint list relates to the one before.
enum class EndpointListKind {
    Delta,        ///< only the nodes that changed
    Full,         ///< all nodes
    Cached,       ///< all nodes as known before this process started; may be outdated
    Unavailable,  ///< no list: the call to discovery failed
};
/// The nodes that discovery lists, or those that changed since the previous list.
struct EndpointList {
    EndpointListKind kind = EndpointListKind::Full;
    std::int64_t version = 0;  ///< version number from discovery; 0: unknown
    std::vector<NodeInfo> nodes;
};

/// A client's request, independent of the protocol it came by.
struct Request {
    RequestId id = 0;
    ClassIndex classIndex;  ///< none: the class name is unknown
    PlanIndex planIndex;    ///< none: the plan name is unknown
    std::string key;        ///< idempotency key; also the ordering key of classes with `fifoByKey`
    std::string volume;     ///< name of the volume whose limit and quota apply
    Micros deadlineUs = 0;  ///< time by which the client must have its final answer
    double units = 1;
    CellIndex cell;       ///< the cell that holds the object; none: a new object, which any cell may take
    int volumeHosts = 1;  ///< hosts that serve the volume, this one included
    bool retry = false;   ///< the client's retry of an earlier request; not used by the policy
    bool bodyIncomplete = false;  ///< the body has not arrived completely
};

/// How an attempt at a node ended.
enum class Outcome {
    Ok,
    Error,          ///< error status; the request may have run
    Rejected,       ///< the node had no capacity; the request did not run
    Timeout,        ///< no response in time; the request may still run
    ConnectFailed,  ///< no connection, or lost before the request was sent completely: it never ran
    Reset,          ///< connection lost after the request was sent; it may have run
    Cancelled,      ///< ended by this host; the request may have run
    NotStarted,     ///< not sent, as the request or the node was gone by then
};
inline constexpr std::size_t kOutcomeCount = 8;
/// The name of an outcome in logs.
std::string_view describe(Outcome outcome);

/// Discovery sent a list, or the call to it failed (`EndpointListKind::Unavailable`).
struct EndpointListReceived {
    EndpointList list;
};
/// A client's request arrived. It gets exactly one final answer, unless it is cancelled first.
struct RequestReceived {
    Request request;
};
/// The last byte of the body arrived: a node can start work, and the client's time counts from now on.
struct RequestBodyCompleted {
    RequestId id = 0;
    Micros deadlineUs = 0;
};
/// An attempt that `ForwardRequest` ordered has ended; sent exactly once for each attempt.
struct AttemptOutcome {
    RequestId id = 0;
    AttemptIndex attempt{0};
    std::string node;
    Outcome outcome = Outcome::Ok;
    Micros elapsedUs = 0;        ///< since the attempt started
    bool requestClosed = false;  ///< the request has its final answer
    double loadPercent = 0;      ///< load that the node reports; not used by the policy
    /// Units per second from other hosts, as the node reports; not used by the policy.
    double loadElsewhere = 0;
    /// One value for each of `Settings::reportColumns`, or none; not used by the policy.
    std::vector<double> loadReport;
    bool requestSpent = false;  ///< no further attempt is possible: the body is gone, or the request is over
};
/// The node's response has started.
struct ResponseStarted {
    RequestId id = 0;
    AttemptIndex attempt{0};
    std::string node;
    Micros elapsedUs = 0;
    bool nodeDone = false;   ///< the node has done its work, only bytes of the response follow
    bool forwarding = true;  ///< bytes already go to the client: no other attempt is possible
};
/// The client disconnected: the request needs no answer any more.
struct RequestCancelled {
    RequestId id = 0;
};
/// A graceful shutdown without a successor process began; this process serves until `servesUntilUs`.
struct ShutdownStarted {
    Micros servesUntilUs = 0;
};
/// The front needs `connections` of the client connections that queued requests hold.
struct CapacityNeeded {
    int connections = 0;
};
/// The delay of a `SetTimer` has passed.
struct TimerFired {
    std::uint64_t token = 0;  ///< the token of that `SetTimer`
};
/// A datagram from another host. The policy validates the bytes, which may be malformed.
struct PeerMessageReceived {
    HostIndex from{0};
    std::string bytes;
};
/// A health check that `StartHealthCheck` ordered has ended.
struct HealthCheckCompleted {
    std::string node;
    Outcome outcome = Outcome::Ok;
    Micros elapsedUs = 0;
    std::vector<double> loadReport;
};
/// Any input of the policy.
using Event = std::variant<EndpointListReceived, RequestReceived, RequestBodyCompleted, AttemptOutcome,
                           ResponseStarted, RequestCancelled, ShutdownStarted, CapacityNeeded, TimerFired,
                           PeerMessageReceived, HealthCheckCompleted>;

// ------------------------------------------------------------------------------------------------ actions

/// Sends a request to a node.
struct ForwardRequest {
    RequestId id = 0;
    std::string node;
    Micros timeoutUs = 0;     ///< of the attempt; 0: until the request's deadline
    Micros lastByteByUs = 0;  ///< the last byte must not reach the node after this time; 0: no such limit
};
/// Why a request got its final answer without a node's response.
enum class AnswerReason {
    Unknown,        ///< none of the others
    NoNode,         ///< its cell has no node that accepts requests
    SlowStart,      ///< the nodes that accept requests are in slow start and their budget is spent
    NoTokens,       ///< the rate limit of its volume is reached
    NodeBusy,       ///< the nodes are at their concurrency limits, or are suspected outliers
    TooSlow,        ///< the nodes' latency exceeds what a request of this value may wait
    NoCapacity,     ///< the front needed the client connection, or has no room for another volume
    NotRepeatable,  ///< an attempt ended, and another one is not allowed or would be too late
    RequestSpent,   ///< an attempt ended with `AttemptOutcome::requestSpent`
};
inline constexpr std::size_t kAnswerReasonCount = 9;
/// The name of a reason in logs and metrics.
std::string_view describe(AnswerReason reason);

/// The final answer: rejected. The client may retry, as nothing ran or a repeat is safe.
struct RejectRequest {
    RequestId id = 0;
    Micros retryAfterUs = 0;  ///< delay before the client's retry; 0: none is given
    AnswerReason reason = AnswerReason::Unknown;
};
/// The final answer: failed. The request may have run.
struct FailRequest {
    RequestId id = 0;
    AnswerReason reason = AnswerReason::Unknown;
};
/// Cancels an attempt; its outcome will be `Outcome::Cancelled`.
struct CancelAttempt {
    RequestId id = 0;
    AttemptIndex attempt{0};
};
/// Checks the health of a node once, to find out whether it responds at all.
struct StartHealthCheck {
    std::string node;
};
/// The recipient of a peer message: one host, or every other host of the tier.
class PeerRecipient {
public:
    /// One host. Implicit, as a single host is the usual recipient.
    constexpr PeerRecipient(HostIndex host) : host_(host) {}
    /// Every host of the tier but the sender.
    [[nodiscard]] static constexpr PeerRecipient everyPeer() { return PeerRecipient(HostIndex()); }
    /// Whether the message goes to every peer.
    [[nodiscard]] constexpr bool isEveryPeer() const { return host_.isNone(); }
    /// The one host; none if the message goes to every peer.
    [[nodiscard]] constexpr HostIndex host() const { return host_; }
    /// Whether both name the same host, or every peer.
    constexpr bool operator==(const PeerRecipient&) const = default;

private:
    HostIndex host_;
};
/// Sends a datagram to peers, without a guarantee of delivery.
struct SendPeerMessage {
    PeerRecipient to = PeerRecipient::everyPeer();
    std::string bytes;
};
/// Requests a `TimerFired` event with this token after the delay. Timers cannot be cancelled.
struct SetTimer {
    Micros delayUs = 0;
    std::uint64_t token = 0;
};
/// Starts or stops a watch of discovery's endpoint list.
struct WatchEndpointList {
    bool enabled = true;
};
/// A line for the log, without a timestamp.
struct LogLine {
    std::string text;
};
/// Any output of the policy; the caller carries out actions in order.
using Action = std::variant<ForwardRequest, RejectRequest, FailRequest, CancelAttempt, StartHealthCheck,
                            SendPeerMessage, SetTimer, WatchEndpointList, LogLine>;

// ------------------------------------------------------------------------------------------------ policy

/// The decisions of one host: which request goes to which node and when, what is retried, what is rejected.
class Policy {
public:
    /// \param now the start of this process, from which its incarnation number is derived
    Policy(const Settings& settings, Micros now);
    ~Policy();
    /// A moved-from policy may only be destroyed or assigned to.
    Policy(Policy&&) noexcept;
    /// As for the move constructor.
    Policy& operator=(Policy&&) noexcept;

    /// Handles one event. Events must be passed in the order in which they happened.
    void on(Micros now, const Event& event);
    /// Ends the batch and returns its actions, in order.
    std::vector<Action> finish(Micros now);

    /// Number of entries in all tables, to detect unbounded growth.
    std::size_t tableEntries() const;
    /// Number of listed nodes that get no requests, or only occasional trial requests.
    std::size_t avoidedNodes() const;
    /// The recovery after a restart: which leases of its limits this host may spend and grant.
    const fleet::RestartRecovery& recovery() const;

    /// Serializes the state for a successor process of this host, which owns all rate-limit tokens and chunks
    /// from then on. This process only finishes its open requests, with the tokens reserved for them.
    std::string takeSnapshot(Micros now);
    /// Restores a snapshot; must be called before the first event.
    /// \return false if the snapshot is damaged, has another layout version or was taken with other settings;
    ///         nothing has changed then
    bool restore(const std::string& snapshot);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace wingproxy
