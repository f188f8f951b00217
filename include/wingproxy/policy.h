/// \file
/// The interface of the decision module (src/policy): typed events in, typed actions out.
///
/// A `Policy` is the scheduler of one host, that is of one front of the tier. Its caller feeds it the events
/// of a batch with `on()` and then takes the actions of that batch with `finish()`. Time is whatever the
/// caller says it is: microseconds since the Unix epoch that never fall. The module has no clock, no threads
/// and no randomness beyond `Settings::seed`, so that the same events always give the same actions.
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
/// Names a request within one host; never reused.
using RequestId = std::uint64_t;

// ------------------------------------------------------------------------------------------------ settings

/// Whether a request that may have run at a node may be sent again.
enum class RetrySafety {
    Idempotent,         ///< at any time
    IdempotentWithKey,  ///< within `ClassInfo::keyWindowUs`, as nodes drop repeats with the same key
    NotIdempotent,      ///< never
};

/// Where nodes recognise a repeated idempotency key.
enum class KeyScope { Global, Zone, Cell };

/// A request class, as the settings define it.
struct ClassInfo {
    std::string name;
    Micros latencyObjectiveUs = 0;  ///< answers within it have full value; 0: no objective
    Micros deadlineUs = 0;          ///< what clients of this class wait at the most
    Micros keyWindowUs = 0;         ///< how long nodes remember an idempotency key
    double priorityWeight = 1;      ///< value of one unit of work that is answered in time
    double lateWeight = 0;          ///< part of that value after the objective
    RetrySafety retrySafety = RetrySafety::Idempotent;
    KeyScope keyScope = KeyScope::Global;
    bool stream = false;     ///< answers are long and forwarded as they come
    bool fifoByKey = false;  ///< requests with the same key are sent one after the other
    bool writes = false;     ///< changes data
    /// Whether all fields are equal.
    bool operator==(const ClassInfo&) const = default;
};

/// A service plan: what one volume may ask for. Rates are in units of work a second.
struct PlanInfo {
    std::string name;
    double baseRate = 0;        ///< what volumes of this plan usually ask for
    double guaranteedRate = 0;  ///< always admitted
    double shares = 1;          ///< weight in what is left beyond the guaranteed rates
    double priorityFactor = 1;  ///< multiplies the priority weight of the class
    double limit = 0;           ///< upper bound of the rate over all hosts; 0: none
    double limitBurst = 0;      ///< units that may be used at once, at the most
    double limitSlack = 0;      ///< units by which the limit may be passed
    /// Whether all fields are equal.
    bool operator==(const PlanInfo&) const = default;
};

/// Everything that differs from one deployment to another.
struct Settings {
    std::uint64_t seed = 0;  ///< the only source of randomness; differs from host to host
    HostIndex hostIndex{0};  ///< this host, below hostCount
    int hostCount = 1;       ///< hosts of the tier, this one included
    std::string zone;        ///< of this host; nodes have one too
    std::vector<ClassInfo> classes;
    std::vector<PlanInfo> plans;
    std::vector<std::string> reportColumns;  ///< names of the fields of a node's load report
    bool loadReportsOnlyByHealthCheck = false;

    // What the deployment allows.
    int maxAttempts = 1;                ///< of one request, the first included
    bool mayCheckHealth = false;        ///< `StartHealthCheck` is carried out
    bool mayGossip = false;             ///< hosts may send each other messages
    bool mayCancel = false;             ///< attempts may be cancelled
    bool hedging = false;               ///< a second attempt may start while the first one runs
    bool sendsRetryAfter = false;       ///< rejections say when the client may come back
    Micros connectTimeoutUs = 250'000;  ///< after which a connection attempt to a node has failed
    Micros maxRetryAfterUs = 0;         ///< and name no longer time than this
    bool pollsEndpointList = false;     ///< the endpoint list must be asked for; false: it is pushed

    // Obligations; 0 where one does not hold.
    Micros responseSlackUs = 0;  ///< a final answer may be this much late
    Micros drainGraceUs = 0;     ///< how long after its drain was announced a node may get new requests
    Micros pollIntervalUs = 0;   ///< the endpoint list is asked for at least this often
    Micros keyCooldownUs = 0;    ///< pause before the next request of a key whose last one may still run
    double retryRatio = 0;       ///< retries allowed, as a part of the requests of the window
    double retryAllowance = 0;   ///< retries allowed in each window besides
    Micros retryWindowUs = 0;    ///< 0: retries are not rationed

    // Slow start of nodes that have just started.
    double slowStartCapacity = 1;        ///< capacity at the start, as a part of the full one
    double slowStartOverloadFactor = 0;  ///< a node fails under this multiple of its capacity
    double slowStartUnits = 0;           ///< units that any starting node bears in one window from all hosts
    Micros slowStartDurationUs = 0;      ///< until capacity is full
    Micros slowStartWindowUs = 0;        ///< over which load is counted; 0: no such rule

    // The size of requests, in units of work.
    double meanUnits = 1;         ///< of one request
    double maxUnits = 1;          ///< of one request
    double shareWeight = 1;       ///< value of a unit inside the volume's weighted share
    double spareWeight = 1;       ///< value of a unit beyond it
    Micros meteringWindowUs = 0;  ///< over which the platform meters use; not used by the policy
    int cellCount = 0;            ///< cells are groups of nodes that hold the same objects
    Micros roundUs = 0;           ///< of the simulator; not used by the policy

    /// The shortest latency objective of all classes; 0 where none has one.
    Micros shortestLatencyObjective() const {
        Micros shortest = 0;
        for (const auto& info : classes) {
            const Micros objective = info.latencyObjectiveUs;
            if (objective > 0 && (shortest == 0 || objective < shortest)) shortest = objective;
        }
        return shortest;
    }
    /// Whether all fields are equal, so that a reload can tell that nothing changed.
    bool operator==(const Settings&) const = default;
};

// ------------------------------------------------------------------------------------------------ events

/// What discovery says of a node.
enum class NodeState {
    Ready,
    Draining,  ///< it will stop: new requests only within `Settings::drainGraceUs`
    Removed,   ///< it is off the list
};

/// One storage node, as discovery lists it.
struct NodeInfo {
    std::string id;    ///< as discovery names it; unique within a list
    std::string zone;  ///< scope of `KeyScope::Zone`
    CellIndex cell{0};
    double rating = 1;  ///< relative capacity, as discovery gives it; not used by the policy
    NodeState state = NodeState::Ready;
    Micros startedUs = 0;  ///< 0: long ago
};

/// How a list of nodes relates to what is known already.
enum class EndpointListKind {
    Delta,        ///< only the nodes that changed
    Full,         ///< all nodes
    Cached,       ///< all nodes as known before the start; may be old
    Unavailable,  ///< no list: the call to discovery failed
};
/// The nodes that discovery lists, or what changed since the list before.
struct EndpointList {
    EndpointListKind kind = EndpointListKind::Full;
    std::int64_t version = 0;  ///< as discovery counts them; 0: unknown
    std::vector<NodeInfo> nodes;
};

/// A client's request, in terms that no protocol has a part in.
struct Request {
    RequestId id = 0;
    ClassIndex classIndex;  ///< none: unknown name
    PlanIndex planIndex;    ///< none: unknown name
    std::string key;        ///< idempotency key, and the key of ordered classes
    std::string volume;     ///< name of what its limit and quota belong to
    Micros deadlineUs = 0;  ///< the client must have its final answer by then
    double units = 1;
    CellIndex cell;               ///< the cell that holds the object; none: a new object, any cell
    int volumeHosts = 1;          ///< hosts that serve the volume, this one included
    bool retry = false;           ///< the client tries again
    bool bodyIncomplete = false;  ///< its body is still coming
};

/// How an attempt at a node ended.
enum class Outcome {
    Ok,
    Error,          ///< an error status; it may have run
    Rejected,       ///< the node had no capacity and did nothing
    Timeout,        ///< nothing in time; it may run yet
    ConnectFailed,  ///< no connection, or broken before the request was complete: it never ran
    Reset,          ///< broken after the request was complete; it may have run
    Cancelled,      ///< ended from this side
    NotStarted,     ///< ordered for a request or node that was gone by then
};
inline constexpr std::size_t kOutcomeCount = 8;
/// The name of an outcome in logs.
std::string_view describe(Outcome outcome);

/// Discovery answered, or failed to: `EndpointListKind::Unavailable`.
struct EndpointListReceived {
    EndpointList list;
};
/// A client's request came; it gets one final answer, unless it is cancelled first.
struct RequestReceived {
    Request request;
};
/// The last byte of the body arrived: a node may start, and the client's time runs from now on.
struct RequestBodyCompleted {
    RequestId id = 0;
    Micros deadlineUs = 0;
};
/// An attempt that `ForwardRequest` ordered has ended. Each one ends once.
struct AttemptOutcome {
    RequestId id = 0;
    AttemptIndex attempt{0};
    std::string node;
    Outcome outcome = Outcome::Ok;
    Micros elapsedUs = 0;            ///< since the attempt started
    bool requestClosed = false;      ///< the request has its final answer
    double loadPercent = 0;          ///< how busy the node says it is
    double loadElsewhere = 0;        ///< units a second that other hosts send it, as it reports
    std::vector<double> loadReport;  ///< one value for each of `Settings::reportColumns`; empty: none came
    bool requestSpent = false;  ///< no further attempt is possible: the body is gone, or the request is over
};
/// The node's response began.
struct ResponseStarted {
    RequestId id = 0;
    AttemptIndex attempt{0};
    std::string node;
    Micros elapsedUs = 0;
    bool nodeDone = false;   ///< the node has done its work, only bytes follow
    bool forwarding = true;  ///< the bytes reach the client already: no other attempt is possible
};
/// The client is gone; it is owed nothing.
struct RequestCancelled {
    RequestId id = 0;
};
/// This process shuts down gracefully, without a successor, and serves until then.
struct ShutdownStarted {
    Micros servesUntilUs = 0;
};
/// The front needs so many of the connections that waiting requests hold.
struct CapacityNeeded {
    int connections = 0;
};
/// The time of a `SetTimer` has come.
struct TimerFired {
    std::uint64_t token = 0;  ///< of that `SetTimer`
};
/// A datagram of another host. Contents may be anything: they are checked here.
struct PeerMessageReceived {
    HostIndex from{0};
    std::string bytes;
};
/// A check that `StartHealthCheck` ordered has ended.
struct HealthCheckCompleted {
    std::string node;
    Outcome outcome = Outcome::Ok;
    Micros elapsedUs = 0;
    std::vector<double> loadReport;
};
/// Anything that the policy is notified of.
using Event = std::variant<EndpointListReceived, RequestReceived, RequestBodyCompleted, AttemptOutcome,
                           ResponseStarted, RequestCancelled, ShutdownStarted, CapacityNeeded, TimerFired,
                           PeerMessageReceived, HealthCheckCompleted>;

// ------------------------------------------------------------------------------------------------ actions

/// Sends a request to a node.
struct ForwardRequest {
    RequestId id = 0;
    std::string node;
    Micros timeoutUs = 0;     ///< 0: the request's own deadline
    Micros lastByteByUs = 0;  ///< a time after which its last byte must not be written; 0: none
};
/// Why a request got no attempt, or no further one, when it was answered without a node's response.
enum class AnswerReason {
    Unknown,        ///< none of the others
    NoNode,         ///< its cell has no node that accepts requests
    SlowStart,      ///< the nodes that accept requests are warming up and have had their budget
    NoTokens,       ///< the limit of its volume
    NodeBusy,       ///< the nodes have as many attempts as they are given, or are suspects
    TooSlow,        ///< the nodes' latency is longer than the request is worth
    NoCapacity,     ///< the front needed the connection
    NotRepeatable,  ///< an attempt ended, and no other is allowed or in time
    RequestSpent,   ///< an attempt ended, and nothing is left to be sent again
};
inline constexpr std::size_t kAnswerReasonCount = 9;
/// The name of a reason in logs and metrics.
std::string_view describe(AnswerReason reason);

/// The final answer: nothing ran, the client may try again.
struct RejectRequest {
    RequestId id = 0;
    Micros retryAfterUs = 0;  ///< 0: no advice
    AnswerReason reason = AnswerReason::Unknown;
};
/// The final answer: failed, and it may have run.
struct FailRequest {
    RequestId id = 0;
    AnswerReason reason = AnswerReason::Unknown;
};
/// Ends an attempt from this side; its outcome is `Outcome::Cancelled`.
struct CancelAttempt {
    RequestId id = 0;
    AttemptIndex attempt{0};
};
/// Checks the health of a node once, to learn whether it answers at all.
struct StartHealthCheck {
    std::string node;
};
/// Who gets a peer message: one host, or every other host of the tier.
class PeerRecipient {
public:
    /// One host. Implicit, as a host is the usual recipient.
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
/// Sends a datagram, which may be lost.
struct SendPeerMessage {
    PeerRecipient to = PeerRecipient::everyPeer();
    std::string bytes;
};
/// Orders a `TimerFired` with this token after the delay. Timers cannot be cancelled.
struct SetTimer {
    Micros delayUs = 0;
    std::uint64_t token = 0;
};
/// Starts or ends asking discovery for the endpoint list.
struct WatchEndpointList {
    bool enabled = true;
};
/// A line for the log, without the time.
struct LogLine {
    std::string text;
};
/// Anything that the policy orders; its caller carries actions out in their order.
using Action = std::variant<ForwardRequest, RejectRequest, FailRequest, CancelAttempt, StartHealthCheck,
                            SendPeerMessage, SetTimer, WatchEndpointList, LogLine>;

// ------------------------------------------------------------------------------------------------ policy

/// The decisions of one host: which request goes to which node and when, what is retried, what is rejected.
class Policy {
public:
    /// \param now the start of this process, which names its incarnation to the peers
    Policy(const Settings& settings, Micros now);
    ~Policy();
    /// The policy that was moved from may only be destroyed or assigned to.
    Policy(Policy&&) noexcept;
    /// As above.
    Policy& operator=(Policy&&) noexcept;

    /// Takes one event; events come in the order in which they happened.
    void on(Micros now, const Event& event);
    /// Ends the batch and returns its actions, in order.
    std::vector<Action> finish(Micros now);

    /// Number of entries in all tables.
    std::size_t tableEntries() const;
    /// Number of listed nodes that get no requests, or only occasional ones to see whether they recovered.
    std::size_t avoidedNodes() const;
    /// What this host may spend and lend of its limits after its start.
    const fleet::RestartRecovery& recovery() const;

    /// Serializes what this host knows for a successor process, which has all rights from then on. Requests
    /// that are open here are finished with the tokens that were kept for them.
    std::string takeSnapshot(Micros now);
    /// Takes over a snapshot; to be called before the first event.
    /// \return false: the snapshot belongs to other settings or is damaged; nothing has changed
    bool restore(const std::string& snapshot);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace wingproxy
