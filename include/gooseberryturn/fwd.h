#ifndef GOOSEBERRYTURN_FWD_H_
#define GOOSEBERRYTURN_FWD_H_

#include <cstdint>

/// \brief Forward declarations of the main types, one namespace per module.
namespace gooseberryturn {

struct Clock;
struct Endpoint;
struct Error;
class StreamDigest;
enum class Outcome : std::uint8_t;
enum class Reason : std::uint8_t;
enum class Step : std::uint8_t;

/// Validated settings and configuration documents.
namespace config {
struct Fault;
struct Document;
struct Service;
struct Route;
struct Limits;
struct Team;
struct DataCentre;
struct EntrySettings;
struct AgentSettings;
struct ControlSettings;
class ObjectReader;
}  // namespace config

/// Messages and frames exchanged between processes.
namespace protocol {
struct View;
struct ViewDelta;
struct Group;
struct Member;
struct HandOver;
struct AnswerHead;
struct AnswerEnd;
struct Renew;
struct RenewReply;
struct Claim;
struct ClaimReply;
struct Settle;
struct MemberLease;
class FrameReader;
}  // namespace protocol

/// HTTP/2 streams over TCP.
namespace link {
class Connection;
class Stream;
class Channel;
class ChannelPool;
class Listener;
class DeadlineTimer;
}  // namespace link

/// The replicated log.
namespace consensus {
struct Membership;
struct Entry;
struct Message;
struct Ready;
class Log;
class Node;
class Storage;
}  // namespace consensus

/// The replicated state and the control service that manages it.
namespace control {
class State;
class ClaimTable;
class Registry;
class Replica;
class Server;
class OperatorApi;
class ViewClient;
}  // namespace control

/// Assignment of hosts to groups.
namespace placement {
struct Host;
struct Inventory;
struct GroupChange;
}  // namespace placement

/// Leases that expire unless they are renewed.
namespace lease {
class ViewLease;
class GroupLease;
class LeaseGrantor;
}  // namespace lease

/// Limits on the requests passed to a target.
namespace admission {
class AdmissionController;
class ConcurrencyLimit;
class AttemptTable;
}  // namespace admission

/// Choice of a group for each request, and retries.
namespace routing {
class GroupChooser;
class RetryBudget;
class TeamLimiter;
struct RetryState;
}  // namespace routing

/// Targets reached directly, without an agent on their host.
namespace direct {
struct Configuration;
struct Announcement;
struct TargetView;
struct GroupView;
struct FleetUpdate;
struct Dialect;
struct HostSettings;
struct Order;
class RouteTable;
class Registry;
class GroupPlanner;
class QuorumPlanner;
class CrashTracker;
class ModelLoadLimiter;
class FleetState;
class FleetView;
class TargetTracker;
class TargetChooser;
class WaitQueue;
class FairOrder;
class EarlyRetries;
class PriorityMap;
class AdmissionReserve;
class LengthEstimator;
class EventSplitter;
class ControlHost;
class EntryHost;
class RequestFlow;
}  // namespace direct

/// Verification that an answer is complete.
namespace stream {
class AnswerVerifier;
}  // namespace stream

/// HTTP client for the target on the same host.
namespace target {
class Exchange;
class Monitor;
}  // namespace target

/// The process that runs beside each target on its host.
namespace agent {
class Agent;
class GroupLeaseManager;
class RequestExecutor;
}  // namespace agent

/// The process that accepts requests from callers.
namespace entry {
class Entry;
class CallerSession;
class RequestFlow;
}  // namespace entry

/// Metrics, logs and a small HTTP server.
namespace observe {
class Metrics;
class HttpServer;
}  // namespace observe

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_FWD_H_
