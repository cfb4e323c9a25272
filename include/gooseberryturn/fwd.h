#ifndef GOOSEBERRYTURN_FWD_H_
#define GOOSEBERRYTURN_FWD_H_

#include <cstdint>

/// \brief All types at a glance, one namespace a module.
namespace gooseberryturn {

struct Clock;
struct Endpoint;
struct Error;
class StreamDigest;
enum class Outcome : std::uint8_t;
enum class Reason : std::uint8_t;
enum class Step : std::uint8_t;

/// Checked settings and documents.
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

/// Messages and frames between processes.
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

/// The replicated state and what its leader does with it.
namespace control {
class State;
class ClaimTable;
class Registry;
class Replica;
class Server;
class OperatorApi;
class ViewClient;
}  // namespace control

/// Which hosts form which groups.
namespace placement {
struct Host;
struct Inventory;
struct GroupChange;
}  // namespace placement

/// Rights that end by themselves.
namespace lease {
class ViewLease;
class GroupLease;
class LeaseGrantor;
}  // namespace lease

/// What a target may be given.
namespace admission {
class AdmissionController;
class ConcurrencyLimit;
class AttemptTable;
}  // namespace admission

/// Which group gets a request, and whether it is tried again.
namespace routing {
class GroupChooser;
class RetryBudget;
class TeamLimiter;
struct RetryState;
}  // namespace routing

/// Targets reached directly, without an agent beside them.
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
class EventSplitter;
class ControlHost;
class EntryHost;
class RequestFlow;
}  // namespace direct

/// Proof that an answer is whole.
namespace stream {
class AnswerVerifier;
}  // namespace stream

/// HTTP towards the target on the same host.
namespace target {
class Exchange;
class Monitor;
}  // namespace target

/// The process beside each target.
namespace agent {
class Agent;
class GroupLeaseManager;
class RequestExecutor;
}  // namespace agent

/// The process that callers talk to.
namespace entry {
class Entry;
class CallerSession;
class RequestFlow;
}  // namespace entry

/// Counters, logs and short HTTP answers.
namespace observe {
class Metrics;
class HttpServer;
}  // namespace observe

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_FWD_H_
