#include "transport/process.hpp"

#include <spdlog/spdlog.h>

#include <chrono>
#include <random>
#include <stdexcept>

namespace walkford::transport {

namespace {
constexpr long kStateTimeout = 1500;
constexpr long kWatchTimeout = 24000;
constexpr long kCloudTimeout = 4500;
constexpr long kWorkerTimeout = 3000;
// Commands to workers behind a cut wait for their end, and the others behind them.
constexpr std::size_t kWorkerLines = 48;

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
        throw std::runtime_error("no event loop");
    }
    controller_.set_stopwatch([] {
        return std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
    });
    event_base* base = base_.get();
    // Connections to state, cloud, workers and peers come first; users and workers get the rest.
    most_worker_lines_ = std::max<std::size_t>(kWorkerLines, platform_settings_.fd_limit / 16);
    std::size_t reserve = 16 + most_worker_lines_ + 4 * platform_settings_.peers.size();
    std::size_t most = platform_settings_.fd_limit > 2 * reserve
                           ? platform_settings_.fd_limit - reserve
                           : platform_settings_.fd_limit / 2;
    server_ = std::make_unique<HttpServer>(base, platform_settings_.serve_on, most,
                                           [this](Input input) { receive(std::move(input)); });
    peers_ = std::make_unique<PeerLink>(base, platform_settings_.cluster_listen,
                                        platform_settings_.peers,
                                        [this](PeerInput input) { receive(std::move(input)); });
    // Leases and watches wait behind nothing else.
    state_lease_ =
        std::make_unique<HttpClient>(base, platform_settings_.state, 1, kStateTimeout, true);
    state_watch_ =
        std::make_unique<HttpClient>(base, platform_settings_.state, 1, kWatchTimeout, true);
    state_ = std::make_unique<HttpClient>(base, platform_settings_.state, 5, kStateTimeout, true);
    cloud_ = std::make_unique<HttpClient>(base, platform_settings_.cloud, 2, kCloudTimeout, true);
    wake_.reset(evtimer_new(base, on_wake, this));
    timeval soon{0, 1000};
    evtimer_add(wake_.get(), &soon);
}

int Process::run() {
    spdlog::info("{} serves on {}, incarnation {}", platform_settings_.controller_name,
                 platform_settings_.serve_on, platform_settings_.incarnation);
    while (event_base_loop(base_.get(), EVLOOP_ONCE) == 0) {
        finish_turn();
    }
    return 1;
}

// All that came in during one turn of the event loop goes into one round of the core: under load a
// turn brings many messages, and a round costs more than the message that it begins with.
void Process::finish_turn() {
    work_.count_loop_turn();
    while (!received_.empty()) {
        std::vector<Input> inputs = std::move(received_);
        received_.clear();
        work_.count_core_round();
        for (const Input& input : inputs) {
            work_.count_input(input);
        }
        // A call that fails at once is received while the outputs are being carried out.
        for (Output& output : controller_.step(now(), inputs)) {
            work_.count_output(output);
            route(output);
        }
    }
    if (auto line = work_.finish_period(now(), server_->accepted())) {
        spdlog::debug("{}", *line);
    }
}

void Process::on_wake(evutil_socket_t, short, void* arg) {
    auto* self = static_cast<Process*>(arg);
    Ms at = now();
    std::erase_if(self->workers_, [at](const auto& line) {
        return line.second.client->idle() && at > line.second.used + 8000;
    });
    self->receive(TickInput{});
}

void Process::receive(Input input) { received_.push_back(std::move(input)); }

void Process::route(Output& output) {
    std::visit(
        [this](auto& o) {
            using T = std::decay_t<decltype(o)>;
            if constexpr (std::is_same_v<T, UserResponse> || std::is_same_v<T, HeartbeatResponse>) {
                server_->answer(o.request, protocol::encode(o));
            } else if constexpr (std::is_same_v<T, StoreRequest>) {
                call_state(std::move(o));
            } else if constexpr (std::is_same_v<T, CloudRequest>) {
                protocol::HttpCall http = protocol::encode(o);
                cloud_->send(std::move(http), [this, call = o](int code, std::string_view body) {
                    receive(protocol::decode_cloud_response(call, code, body, controller_.names()));
                });
            } else if constexpr (std::is_same_v<T, WorkerRequest>) {
                call_worker(std::move(o));
            } else if constexpr (std::is_same_v<T, PeerSend>) {
                peers_->send(o);
            } else if constexpr (std::is_same_v<T, WakeAt>) {
                Ms wait = std::max<Ms>(1, o.at - now());
                timeval tv = to_timeval(wait);
                evtimer_add(wake_.get(), &tv);
            }
        },
        output);
}

void Process::call_state(StoreRequest call) {
    HttpClient* client = state_.get();
    if (call.operation == StoreOperation::changes && call.wait_ms > 0) {
        client = state_watch_.get();
    }
    if (call.operation == StoreOperation::lease_renew) {
        client = state_lease_.get();
    }
    protocol::HttpCall http = protocol::encode(call);
    call.transaction = {};  // the answer is understood without it
    client->send(std::move(http), [this, call = std::move(call)](int code, std::string_view body) {
        receive(protocol::decode_store_response(call, code, body));
    });
}

void Process::call_worker(WorkerRequest call) {
    auto it = workers_.find(call.address);
    if (it == workers_.end()) {
        if (workers_.size() >= most_worker_lines_) {
            receive(WorkerResponse{call.call, WorkerCallStatus::no_response, std::nullopt});
            return;
        }
        WorkerLine line;
        line.client =
            std::make_unique<HttpClient>(base_.get(), call.address, 1, kWorkerTimeout, false);
        it = workers_.emplace(call.address, std::move(line)).first;
    }
    it->second.used = now();
    it->second.client->send(protocol::encode(call),
                            [this, id = call.call](int code, std::string_view body) {
                                receive(protocol::decode_worker_response(id, code, body));
                            });
}

}  // namespace walkford::transport
