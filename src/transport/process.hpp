// Connects the controller to its sockets and timers.
#pragma once

#include <map>

#include "coordination/controller/controller.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/peer_link.hpp"
#include "transport/work_counters.hpp"

namespace walkford::transport {

// Owns the event loop, all connections and the controller. Everything runs on one thread: received
// messages become inputs, which are passed to the controller at the end of an event loop iteration,
// and its outputs become requests, responses and timers.
class Process {
  public:
    // Throws std::runtime_error if an address is invalid or listening on it fails.
    Process(PlatformSettings platform_settings, OperatorSettings operator_settings);
    // Runs until the process is killed; returns only if the event loop fails.
    int run();

  private:
    // Queues an input for the controller step at the end of this event loop iteration.
    void receive(Input input);
    void step_controller();
    void dispatch(Output& output);
    void close_idle_worker_connections();
    void send_to_store(StoreRequest request);
    void send_to_cloud(CloudRequest request);
    void send_to_worker(WorkerRequest request);
    HttpClient& store_client(const StoreRequest& request);
    void wake_at(Ms time);
    static void on_wake(evutil_socket_t, short, void* self);
    static Ms now();

    PlatformSettings platform_settings_;
    EventBase base_;
    Controller controller_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<PeerLink> peers_;
    // Lease renewals and watches have their own clients so that no other request delays them.
    std::unique_ptr<HttpClient> store_lease_client_;
    std::unique_ptr<HttpClient> store_watch_client_;
    std::unique_ptr<HttpClient> store_client_;
    std::unique_ptr<HttpClient> cloud_client_;
    // A connection for requests sent directly to a worker.
    struct WorkerConnection {
        std::unique_ptr<HttpClient> client;
        Ms last_use = 0;
    };
    std::map<std::string, WorkerConnection> worker_connections_;  // by address
    std::size_t max_worker_connections_ = 0;
    Event wake_timer_;
    std::vector<Input> received_;
    WorkCounters work_counters_;
};

}  // namespace walkford::transport
