// The HTTP server for users, workers and health checks, on libevent.
#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "protocol/wire.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

// Hands each request that can be parsed to its handler as an input, and sends the response when it
// is given one; a request that can't be parsed is answered at once. Keeps the number of connections
// within a limit.
class HttpServer {
  public:
    // Called with each request, from the event loop.
    using Handler = std::function<void(Input)>;
    // `max_connections`: above it, connections that are idle are closed. Throws std::runtime_error
    // where the address can't be listened on.
    HttpServer(event_base* base, const std::string& address, std::size_t max_connections,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Sends the response to a request; nothing where its connection has been closed.
    void answer(RequestId request, const protocol::HttpResponse& reply);
    // Connections that are open and have sent a request.
    std::size_t connections() const { return connections_.size(); }
    // How many connections have sent a request since the start.
    std::uint64_t accepted() const { return accepted_; }
    // The port that is listened on, also where the address left the choice to the system.
    std::uint16_t port() const { return port_; }

  private:
    struct Connection {
        std::uint64_t last_use = 0;  // by use_counter_
        bool worker = false;         // a worker has used it
        std::size_t open = 0;        // requests that are being served
    };
    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);
    static void on_accept_error(evconnlistener* listener, void*);
    static void on_accept_again(evutil_socket_t, short, void* listener);
    void receive(evhttp_request* request);
    Connection& track_connection(evhttp_request* request, std::string_view path);
    void close_idle_connection();

    HttpServerHandle http_;
    Handler handler_;
    std::size_t max_connections_;
    std::uint16_t port_ = 0;
    RequestId next_request_id_ = 1;
    std::uint64_t use_counter_ = 0;
    std::uint64_t accepted_ = 0;
    std::unordered_map<RequestId, evhttp_request*> open_;
    std::unordered_map<evhttp_connection*, Connection> connections_;
};

}  // namespace walkford::transport
