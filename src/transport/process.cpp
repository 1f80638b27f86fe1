#include "transport/process.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <random>
#include <stdexcept>

namespace walkford::transport {

namespace {
constexpr long kStoreTimeoutMs = 1500;
constexpr long kWatchTimeoutMs = 24000;  // longer than the wait time of a watch request
constexpr long kCloudTimeoutMs = 4500;
constexpr long kWorkerTimeoutMs = 3000;
constexpr std::size_t kStoreConnections = 5;
constexpr std::size_t kCloudConnections = 2;
// Requests to workers behind a network partition occupy their connections until the timeout, so
// there must be enough connections left for the reachable workers.
constexpr std::size_t kMinWorkerConnections = 48;
constexpr Ms kWorkerConnectionIdleMs = 8000;
// File descriptors reserved for everything except users, workers and peers.
constexpr std::size_t kBaseFds = 16;
constexpr std::size_t kFdsPerPeer = 4;
constexpr long kFirstWakeDelayMs = 1;

std::uint64_t random_seed() {
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}
}  // namespace

Ms Process::now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

Process::Process(PlatformSettings platform_settings, OperatorSettings operator_settings)
    : platform_settings_(platform_settings),
      base_(event_base_new()),
      controller_(std::move(platform_settings), std::move(operator_settings), random_seed()) {
    if (!base_) {
        throw std::runtime_error("failed to create the libevent event loop");
    }
    controller_.set_stopwatch([] {
        return std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
    });
    event_base* base = base_.get();
    // Reserves file descriptors for the store, the cloud, workers and peers; the HTTP server gets
    // the rest.
    max_worker_connections_ =
        std::max<std::size_t>(kMinWorkerConnections, platform_settings_.fd_limit / 16);
    std::size_t reserved_fds =
        kBaseFds + max_worker_connections_ + kFdsPerPeer * platform_settings_.peers.size();
    std::size_t max_served = platform_settings_.fd_limit > 2 * reserved_fds
                                 ? platform_settings_.fd_limit - reserved_fds
                                 : platform_settings_.fd_limit / 2;
    server_ = std::make_unique<HttpServer>(base, platform_settings_.serve_on, max_served,
                                           [this](Input input) { receive(std::move(input)); });
    peers_ = std::make_unique<PeerLink>(
        base, platform_settings_.cluster_listen, platform_settings_.peers,
        [this](IncomingPeerHeartbeat input) { receive(std::move(input)); });
    const std::string& store = platform_settings_.state;
    store_lease_client_ = std::make_unique<HttpClient>(base, store, 1, kStoreTimeoutMs, true);
    store_watch_client_ = std::make_unique<HttpClient>(base, store, 1, kWatchTimeoutMs, true);
    store_client_ =
        std::make_unique<HttpClient>(base, store, kStoreConnections, kStoreTimeoutMs, true);
    cloud_client_ = std::make_unique<HttpClient>(base, platform_settings_.cloud, kCloudConnections,
                                                 kCloudTimeoutMs, true);
    wake_timer_.reset(evtimer_new(base, on_wake, this));
    timeval first_wake = to_timeval(kFirstWakeDelayMs);
    evtimer_add(wake_timer_.get(), &first_wake);
}

int Process::run() {
    spdlog::info("controller {} is listening on {}, incarnation {}",
                 platform_settings_.controller_name, platform_settings_.serve_on,
                 platform_settings_.incarnation);
    while (event_base_loop(base_.get(), EVLOOP_ONCE) == 0) {
        step_controller();
    }
    return 1;
}

// Passes all messages received in one event loop iteration to the controller in one step: under
// load an iteration receives many messages, and a step costs more than a single message.
void Process::step_controller() {
    work_counters_.count_loop_iteration();
    while (!received_.empty()) {
        std::vector<Input> inputs = std::move(received_);
        received_.clear();
        work_counters_.count_controller_step();
        for (const Input& input : inputs) {
            work_counters_.count_input(input);
        }
        // Dispatching an output may add to received_: a request that fails immediately yields an
        // input.
        for (Output& output : controller_.step(now(), inputs)) {
            work_counters_.count_output(output);
            dispatch(output);
        }
    }
    if (auto line = work_counters_.finish_period(now(), server_->accepted_connections())) {
        spdlog::debug("{}", *line);
    }
}

void Process::on_wake(evutil_socket_t, short, void* arg) {
    auto* self = static_cast<Process*>(arg);
    self->close_idle_worker_connections();
    self->receive(TickInput{});
}

void Process::close_idle_worker_connections() {
    Ms time = now();
    std::erase_if(worker_connections_, [time](const auto& entry) {
        const WorkerConnection& connection = entry.second;
        return connection.client->idle() && time > connection.last_use + kWorkerConnectionIdleMs;
    });
}

void Process::receive(Input input) { received_.push_back(std::move(input)); }

void Process::dispatch(Output& output) {
    std::visit(
        [this](auto& message) {
            using T = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<T, UserResponse> || std::is_same_v<T, HeartbeatResponse>) {
                server_->send_response(message.request, protocol::encode(message));
            } else if constexpr (std::is_same_v<T, StoreRequest>) {
                send_to_store(std::move(message));
            } else if constexpr (std::is_same_v<T, CloudRequest>) {
                send_to_cloud(std::move(message));
            } else if constexpr (std::is_same_v<T, WorkerRequest>) {
                send_to_worker(std::move(message));
            } else if constexpr (std::is_same_v<T, OutgoingPeerHeartbeat>) {
                peers_->send(message);
            } else if constexpr (std::is_same_v<T, WakeAt>) {
                wake_at(message.at);
            }
        },
        output);
}

void Process::wake_at(Ms time) {
    timeval wait = to_timeval(std::max<Ms>(1, time - now()));
    evtimer_add(wake_timer_.get(), &wait);
}

HttpClient& Process::store_client(const StoreRequest& request) {
    if (request.operation == StoreOperation::lease_renew) {
        return *store_lease_client_;
    }
    bool watch = request.operation == StoreOperation::changes && request.wait_ms > 0;
    return watch ? *store_watch_client_ : *store_client_;
}

void Process::send_to_store(StoreRequest request) {
    HttpClient& client = store_client(request);
    protocol::HttpRequest http = protocol::encode(request);
    request.transaction = {};  // not needed for decoding the response
    client.send(std::move(http),
                [this, request = std::move(request)](int code, std::string_view body) {
                    receive(protocol::decode_store_response(request, code, body));
                });
}

void Process::send_to_cloud(CloudRequest request) {
    protocol::HttpRequest http = protocol::encode(request);
    cloud_client_->send(
        std::move(http), [this, request = std::move(request)](int code, std::string_view body) {
            receive(protocol::decode_cloud_response(request, code, body, controller_.names()));
        });
}

void Process::send_to_worker(WorkerRequest request) {
    auto found = worker_connections_.find(request.address);
    if (found == worker_connections_.end()) {
        if (worker_connections_.size() >= max_worker_connections_) {
            receive(WorkerResponse{request.call, WorkerCallStatus::no_response, std::nullopt});
            return;
        }
        WorkerConnection connection;
        connection.client =
            std::make_unique<HttpClient>(base_.get(), request.address, 1, kWorkerTimeoutMs, false);
        found = worker_connections_.emplace(request.address, std::move(connection)).first;
    }
    found->second.last_use = now();
    found->second.client->send(protocol::encode(request),
                               [this, call = request.call](int code, std::string_view body) {
                                   receive(protocol::decode_worker_response(call, code, body));
                               });
}

}  // namespace walkford::transport
