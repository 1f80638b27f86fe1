// An HTTP client of one address, on libevent. It has a few connections with one request at a time
// on each; further requests wait in a queue, in order.
#pragma once

#include <deque>
#include <functional>
#include <vector>

#include "protocol/wire.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

// Sends requests to one address. Every request is answered exactly once, unless the client is
// destroyed before: with a response, or with status 0 after an error or at the deadline.
class HttpClient {
  public:
    // Called with the HTTP status, 0 where no response came, and the body, which is valid during
    // the call only.
    using ResponseHandler = std::function<void(int code, std::string_view body)>;
    // `keep_alive`: connections stay open for further requests.
    HttpClient(event_base* base, const std::string& address, std::size_t connections,
               long timeout_ms, bool keep_alive);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends a request as soon as a connection is free.
    void send(protocol::HttpRequest call, ResponseHandler on_response);
    // Whether no request is open or queued.
    bool idle() const;

  private:
    struct PooledConnection {
        HttpConnection connection;
        bool busy = false;
    };
    // A request that has been sent. libevent holds a pointer to it until it calls on_done.
    struct OpenRequest {
        HttpClient* client;
        std::size_t connection_index;
        ResponseHandler on_response;
        Event deadline;
        bool finished = false;  // whatever libevent still reports of it is ignored
    };
    struct QueuedRequest {
        protocol::HttpRequest call;
        ResponseHandler on_response;
    };
    // A connection on which the next request of the queue is to be sent.
    struct FreeConnection {
        HttpClient* client;
        std::size_t connection_index;
    };
    static void on_done(evhttp_request* request, void* open_request);
    static void on_deadline(evutil_socket_t, short, void* open_request);
    static void on_send_next(evutil_socket_t, short, void* free_connection);
    void start(std::size_t connection_index, const protocol::HttpRequest& call,
               ResponseHandler on_response);
    void fill(evhttp_request* request, const protocol::HttpRequest& call) const;
    void finish(OpenRequest* open, int code, std::string_view body);
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
    std::vector<OpenRequest*> open_;
};

}  // namespace walkford::transport
