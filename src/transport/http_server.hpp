// The HTTP server for users, workers and health checks, based on libevent.
#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "protocol/wire.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

// Passes each valid request to the handler as an input, and sends the response once it is
// available; an invalid request is answered immediately. Limits the number of open connections.
class HttpServer {
  public:
    // Called with each request, from the event loop.
    using Handler = std::function<void(Input)>;
    // Above `max_connections`, idle connections are closed. Throws std::runtime_error if listening
    // on the address fails.
    HttpServer(event_base* base, const std::string& address, std::size_t max_connections,
               Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Sends the response to a request. Does nothing if the connection has been closed.
    void send_response(RequestId request, const protocol::HttpResponse& reply);
    // Number of open connections that have sent at least one request.
    std::size_t connections() const { return connections_.size(); }
    // Number of connections since startup that have sent at least one request.
    std::uint64_t accepted_connections() const { return accepted_connections_; }
    // The port the server listens on; useful if the address specified port 0.
    std::uint16_t port() const { return port_; }

  private:
    struct Connection {
        std::uint64_t last_use = 0;   // value of use_counter_ at the last request
        bool used_by_worker = false;  // a worker has sent a request on it
        std::size_t pending = 0;      // requests received but not yet answered
    };
    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);
    static void on_accept_error(evconnlistener* listener, void*);
    static void on_accept_retry(evutil_socket_t, short, void* listener);
    void receive(evhttp_request* request);
    Connection& track_connection(evhttp_request* request, std::string_view path);
    void close_idle_connection();

    HttpServerHandle http_;
    Handler handler_;
    std::size_t max_connections_;
    std::uint16_t port_ = 0;
    RequestId next_request_id_ = 1;
    std::uint64_t use_counter_ = 0;
    std::uint64_t accepted_connections_ = 0;
    std::unordered_map<RequestId, evhttp_request*> pending_requests_;
    std::unordered_map<evhttp_connection*, Connection> connections_;
};

}  // namespace walkford::transport
