// The running process: the core between its sockets and timers.
#pragma once

#include <map>

#include "coordination/controller/controller.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_link.hpp"
#include "transport/work_counters.hpp"

namespace walkford::transport {

class Process {
  public:
    Process(PlatformSettings platform_settings, OperatorSettings operator_settings);
    // Runs until killed; returns only when the event loop fails.
    int run();

  private:
    // Keeps an input for the round at the end of this turn of the event loop.
    void receive(Input input);
    void finish_turn();
    void route(Output& output);
    void call_state(StoreRequest call);
    void call_worker(WorkerRequest call);
    static void on_wake(evutil_socket_t, short, void* self);
    static Ms now();

    PlatformSettings platform_settings_;
    EventBase base_;
    Controller controller_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<PeerLink> peers_;
    std::unique_ptr<HttpClient> state_lease_;
    std::unique_ptr<HttpClient> state_watch_;
    std::unique_ptr<HttpClient> state_;
    std::unique_ptr<HttpClient> cloud_;
    struct WorkerLine {
        std::unique_ptr<HttpClient> client;
        Ms used = 0;
    };
    std::map<std::string, WorkerLine> workers_;
    std::size_t most_worker_lines_ = 0;
    Event wake_;
    std::vector<Input> received_;
    WorkCounters work_;
};

}  // namespace walkford::transport
