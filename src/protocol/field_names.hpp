// Paths, field names and field values of the four protocols that a controller speaks: with users,
// workers, the cloud and the store. Each constant is named by the domain term; its value is the
// spelling that the platform prescribes, which is used nowhere else in the source.
#pragma once

namespace walkford::protocol {

// Requests of users and the responses to them.
namespace user_fields {
inline constexpr const char* kReadyPath = "/ready";
inline constexpr const char* kJobsPath = "/work";
inline constexpr const char* kJobPathPrefix = "/work/";      // followed by the job id
inline constexpr const char* kCancelPathSuffix = "/cancel";  // follows the job id

inline constexpr const char* kError = "error";
inline constexpr const char* kJobId = "uid";
inline constexpr const char* kJobClass = "lane";
inline constexpr const char* kTeam = "owner";
inline constexpr const char* kShape = "shape";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kTaskCount = "pieces";
inline constexpr const char* kCpus = "vcpus";
inline constexpr const char* kGpus = "gpus";
inline constexpr const char* kMemoryGb = "ramGb";
inline constexpr const char* kMachineTypes = "builds";  // allowed machine types; absent: all
inline constexpr const char* kZone = "yard";            // the only allowed zone; absent: any
inline constexpr const char* kOneZone = "samePlace";
inline constexpr const char* kSpread = "spread";
inline constexpr const char* kSpot = "loaners";  // spot instances are allowed
inline constexpr const char* kImage = "bundle";
inline constexpr const char* kImageGb = "imageGb";
inline constexpr const char* kEstimateS = "guessS";
inline constexpr const char* kCheckpointIntervalS = "bookmarkS";
inline constexpr const char* kCheckpointDurationS = "stashS";
inline constexpr const char* kDeadlineS = "dueS";
inline constexpr const char* kStatus = "status";
inline constexpr const char* kDoneCount = "done";
inline constexpr const char* kRunningCount = "running";

inline constexpr const char* kShapeArray = "batch";
inline constexpr const char* kShapeGang = "ensemble";
inline constexpr const char* kShapeService = "service";

inline constexpr const char* kPriorityProduction = "prod";
inline constexpr const char* kPriorityHigh = "high";
inline constexpr const char* kPriorityNormal = "normal";
inline constexpr const char* kPriorityBestEffort = "best_effort";

inline constexpr const char* kStatusPending = "pending";
inline constexpr const char* kStatusRunning = "running";
inline constexpr const char* kStatusDone = "done";
inline constexpr const char* kStatusCancelled = "cancelled";
}  // namespace user_fields

// Heartbeats of workers, and the commands sent to workers.
namespace worker_fields {
inline constexpr const char* kPathPrefix = "/agent/";  // prefix of all requests of workers
inline constexpr const char* kHeartbeatPath = "/agent/beat";
inline constexpr const char* kCommandsPath = "/orders";  // served by the worker

inline constexpr const char* kMachine = "walker";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kMachineType = "build";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kIncarnation = "stint";
inline constexpr const char* kSequence =
    "tick";  // sequence number of the heartbeat within the incarnation
inline constexpr const char* kFencingToken = "baton";
inline constexpr const char* kReclaimNoticeS =
    "warningS";  // time until the cloud reclaims the spot machine
inline constexpr const char* kTasks = "pieces";
inline constexpr const char* kTask = "piece";  // "<job id>/<index of the task>"
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kTaskState = "status";
inline constexpr const char* kExitCause = "cause";
inline constexpr const char* kProgressSaved = "kept";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kCommand = "verb";
inline constexpr const char* kGraceS =
    "leewayS";  // time to write a checkpoint before the task is killed
inline constexpr const char* kLeader = "foreman";

inline constexpr const char* kCommandRun = "run";
inline constexpr const char* kCommandClear = "clear";
inline constexpr const char* kCommandStop = "halt";

inline constexpr const char* kTaskPulling = "pulling";
inline constexpr const char* kTaskWaiting = "waiting";
inline constexpr const char* kTaskRunning = "running";
inline constexpr const char* kTaskSaving = "flushing";
inline constexpr const char* kTaskExited = "exited";
}  // namespace worker_fields

// Requests to the cloud, which rents out machines, and its responses.
namespace cloud_fields {
inline constexpr const char* kMachineTypesPath = "/flavors";
inline constexpr const char* kScaleOutPath = "/machines";
inline constexpr const char* kScaleInPath = "/machines/return";
inline constexpr const char* kListPath = "/machines?most=500";
inline constexpr const char* kAfterParameter = "&after=";  // last machine name of the previous page

inline constexpr const char* kError = "error";
inline constexpr const char* kRequestName = "hire";  // makes a repeated request idempotent
inline constexpr const char* kMachineType = "build";
inline constexpr const char* kMachineTypes = "builds";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kZones = "yards";
inline constexpr const char* kSpot = "loaners";
inline constexpr const char* kCount = "howMany";
inline constexpr const char* kMachines = "walkers";
inline constexpr const char* kTruncated = "truncated";  // another page follows

inline constexpr const char* kMachineTypeName = "name";
inline constexpr const char* kCpus = "vcpus";
inline constexpr const char* kGpus = "gpus";
inline constexpr const char* kMemoryGb = "ramGb";
inline constexpr const char* kImageCacheGb = "cacheGb";
inline constexpr const char* kImageFetchGbPerS = "fetchGbPerS";
inline constexpr const char* kPrice = "price";
inline constexpr const char* kSpotPrice = "lowPrice";  // absent: the type has no spot instances
inline constexpr const char* kBootS = "readyS";

inline constexpr const char* kMachineName = "uid";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kAgeS = "heldS";
inline constexpr const char* kMachineState = "status";

inline constexpr const char* kErrorNoCapacity = "no capacity";
inline constexpr const char* kMachineBooting = "booting";
inline constexpr const char* kMachineRunning = "running";
inline constexpr const char* kMachineFailed = "failed";
}  // namespace cloud_fields

// Requests to the store, a consensus-backed key-value store, and its responses.
namespace store_fields {
inline constexpr const char* kKeyPathPrefix = "/keys/";  // followed by the key
inline constexpr const char* kListPath = "/keys?prefix=";
inline constexpr const char* kListLimitParameter = "&most=400";
inline constexpr const char* kChangesPath = "/changes?prefix=";
inline constexpr const char* kAfterParameter =
    "&after=";  // a key for a list, a revision for changes
inline constexpr const char* kWaitMsParameter = "&blockMs=";
inline constexpr const char* kLeasesPath = "/leases";
inline constexpr const char* kLeasePathPrefix = "/leases/";  // followed by the lease id
inline constexpr const char* kRenewPathSuffix = "/touch";    // follows the lease id
inline constexpr const char* kTransactionPath = "/txn";

inline constexpr const char* kLeaseTtlMs = "lifeMs";
inline constexpr const char* kLease = "permit";
inline constexpr const char* kKey = "k";
inline constexpr const char* kValue = "value";
inline constexpr const char* kVersion = "stamp";  // revision of the last write to the key
inline constexpr const char* kRevision = "ledgerRev";
inline constexpr const char* kComparisons = "if";
inline constexpr const char* kFailedComparisons = "failed";  // keys of the failed comparisons
inline constexpr const char* kWrites = "writes";
inline constexpr const char* kWrittenKey = "write";  // in a transaction and in an event
inline constexpr const char* kDeletedKey = "drop";   // in a transaction and in an event
inline constexpr const char* kEvents = "events";
inline constexpr const char* kRows = "rows";
inline constexpr const char* kTruncated = "truncated";  // another page follows
}  // namespace store_fields

}  // namespace walkford::protocol
