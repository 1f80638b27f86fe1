#include "transport/http_client.hpp"

#include <algorithm>

namespace walkford::transport {

namespace {
constexpr ssize_t kMaxResponseBytes = ssize_t{8} * 1024 * 1024;

evhttp_cmd_type to_libevent_command(protocol::Method method) {
    switch (method) {
        case protocol::Method::get:
            return EVHTTP_REQ_GET;
        case protocol::Method::post:
            return EVHTTP_REQ_POST;
        default:
            return EVHTTP_REQ_DELETE;
    }
}
}  // namespace

HttpClient::HttpClient(event_base* base, const std::string& address, std::size_t connections,
                       long timeout_ms, bool keep_alive)
    : base_(base), address_(address), timeout_ms_(timeout_ms), keep_alive_(keep_alive) {
    HostAndPort target = split_address(address);
    host_ = std::move(target.host);
    port_ = target.port;
    connections_.resize(connections);
}

HttpClient::~HttpClient() {
    // Freeing a connection invokes on_done for its request; no handler may be called any more.
    for (InFlightRequest* in_flight : in_flight_) {
        in_flight->finished = true;
    }
    connections_.clear();
    for (InFlightRequest* in_flight : in_flight_) {
        delete in_flight;
    }
}

bool HttpClient::idle() const { return in_flight_.empty() && queue_.empty(); }

void HttpClient::connect(PooledConnection& pooled) {
    pooled.connection.reset(
        evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host_.c_str(), port_));
    if (pooled.connection) {
        evhttp_connection_set_max_body_size(pooled.connection.get(), kMaxResponseBytes);
    }
}

void HttpClient::send(protocol::HttpRequest call, ResponseHandler on_response) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        if (!connections_[i].busy) {
            start_request(i, call, std::move(on_response));
            return;
        }
    }
    queue_.push_back({std::move(call), std::move(on_response)});
}

// Sets the headers and the body of a request.
void HttpClient::fill_request(evhttp_request* request, const protocol::HttpRequest& call) const {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address_.c_str());
    if (!keep_alive_) {
        evhttp_add_header(headers, "Connection", "close");
    }
    if (!call.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/msgpack");
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
}

void HttpClient::start_request(std::size_t connection_index, const protocol::HttpRequest& call,
                               ResponseHandler on_response) {
    PooledConnection& pooled = connections_[connection_index];
    if (!pooled.connection) {
        connect(pooled);
    }
    pooled.busy = true;
    auto* in_flight = new InFlightRequest{this, connection_index, std::move(on_response), nullptr};
    in_flight_.push_back(in_flight);
    evhttp_request* request = evhttp_request_new(on_done, in_flight);
    if (!pooled.connection || !request) {
        if (request) {
            evhttp_request_free(request);
        }
        finish(in_flight, 0, {});
        return;
    }
    fill_request(request, call);
    // A single deadline covers the whole call, as libevent's own timeouts restart with every byte.
    in_flight->deadline.reset(evtimer_new(base_, on_deadline, in_flight));
    timeval timeout = to_timeval(timeout_ms_);
    evtimer_add(in_flight->deadline.get(), &timeout);
    if (evhttp_make_request(pooled.connection.get(), request, to_libevent_command(call.method),
                            call.path.c_str()) != 0) {
        // libevent has freed the request and does not call on_done for it.
        if (std::find(in_flight_.begin(), in_flight_.end(), in_flight) != in_flight_.end()) {
            finish(in_flight, 0, {});
        }
    }
}

void HttpClient::on_done(evhttp_request* request, void* in_flight_request) {
    auto* in_flight = static_cast<InFlightRequest*>(in_flight_request);
    if (in_flight->finished) {
        return;
    }
    int code = request ? evhttp_request_get_response_code(request) : 0;
    std::string body;
    if (request && code != 0) {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::size_t size = evbuffer_get_length(input);
        if (size > 0) {
            body.assign(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
        }
    }
    in_flight->client->finish(in_flight, code, body);
}

void HttpClient::on_deadline(evutil_socket_t, short, void* in_flight_request) {
    auto* in_flight = static_cast<InFlightRequest*>(in_flight_request);
    HttpClient* client = in_flight->client;
    // Closes the connection: the response may still arrive and must not be mistaken for the
    // response to a later request.
    in_flight->finished = true;
    client->connections_[in_flight->connection_index].connection.reset();
    client->finish(in_flight, 0, {});
}

void HttpClient::finish(InFlightRequest* in_flight, int code, std::string_view body) {
    in_flight->finished = true;
    std::erase(in_flight_, in_flight);
    std::size_t connection_index = in_flight->connection_index;
    ResponseHandler on_response = std::move(in_flight->on_response);
    std::unique_ptr<InFlightRequest> freed(in_flight);
    connections_[connection_index].busy = false;
    if (!queue_.empty()) {
        schedule_next(connection_index);
    }
    on_response(code, body);
}

// Defers sending the next request to the event loop, as this function may be running inside a
// callback of the same connection.
void HttpClient::schedule_next(std::size_t connection_index) {
    connections_[connection_index].busy = true;
    auto* free_connection = new FreeConnection{this, connection_index};
    timeval now{0, 0};
    event_base_once(base_, -1, EV_TIMEOUT, on_send_next, free_connection, &now);
}

void HttpClient::on_send_next(evutil_socket_t, short, void* free_connection) {
    std::unique_ptr<FreeConnection> target(static_cast<FreeConnection*>(free_connection));
    HttpClient* client = target->client;
    client->connections_[target->connection_index].busy = false;
    if (client->queue_.empty()) {
        return;
    }
    QueuedRequest next = std::move(client->queue_.front());
    client->queue_.pop_front();
    client->start_request(target->connection_index, next.call, std::move(next.on_response));
}

}  // namespace walkford::transport
