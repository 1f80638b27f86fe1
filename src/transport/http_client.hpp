// An HTTP client for a single server address, based on libevent. It has a fixed number of
// connections with at most one request in flight on each; further requests wait in a FIFO queue.
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "protocol/wire.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

// Sends requests to one address. The handler of every request is called exactly once,
// unless the client is destroyed before: with the response, or with status 0 after an error or when
// the deadline expires.
class HttpClient {
  public:
    // Called with the HTTP status, or 0 if no response was received, and the body, which is valid
    // only during the call.
    using ResponseHandler = std::function<void(int code, std::string_view body)>;
    // With `keep_alive`, connections stay open for further requests.
    HttpClient(event_base* base, const std::string& address, std::size_t connections,
               long timeout_ms, bool keep_alive);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends a request, or queues it until a connection is free.
    void send(protocol::HttpRequest call, ResponseHandler on_response);
    // Whether no request is in flight or queued.
    bool idle() const;

  private:
    struct PooledConnection {
        HttpConnection connection;
        bool busy = false;
    };
    // A request that has been sent. libevent holds a pointer to it until it calls on_done.
    struct InFlightRequest {
        HttpClient* client;
        std::size_t connection_index;
        ResponseHandler on_response;
        Event deadline;
        bool finished = false;  // later libevent callbacks for this request are ignored
    };
    struct QueuedRequest {
        protocol::HttpRequest call;
        ResponseHandler on_response;
    };
    // Callback argument: the connection that sends the next queued request.
    struct FreeConnection {
        HttpClient* client;
        std::size_t connection_index;
    };
    static void on_done(evhttp_request* request, void* in_flight_request);
    static void on_deadline(evutil_socket_t, short, void* in_flight_request);
    static void on_send_next(evutil_socket_t, short, void* free_connection);
    void start_request(std::size_t connection_index, const protocol::HttpRequest& call,
                       ResponseHandler on_response);
    void fill_request(evhttp_request* request, const protocol::HttpRequest& call) const;
    void finish(InFlightRequest* in_flight, int code, std::string_view body);
    void schedule_next(std::size_t connection_index);
    void connect(PooledConnection& pooled);

    event_base* base_;
    std::string address_;
    std::string host_;
    std::uint16_t port_;
    long timeout_ms_;
    bool keep_alive_;
    std::vector<PooledConnection> connections_;
    std::deque<QueuedRequest> queue_;
    std::vector<InFlightRequest*> in_flight_;
};

}  // namespace walkford::transport
