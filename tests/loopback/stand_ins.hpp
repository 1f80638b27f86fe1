// Stand-ins of the platform's services on real sockets, for tests with the real program.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "protocol/messagepack_codec.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

using protocol::pack;
using protocol::unpack;

// A port that nobody listens on at the address.
inline std::uint16_t free_port(const char* address = "127.0.0.1") {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    inet_pton(AF_INET, address, &a.sin_addr);
    socklen_t n = sizeof a;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a), 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    close(fd);
    return ntohs(a.sin_port);
}

// One evhttp server whose handler gets method, path and body, and gives a code and a body.
class Served {
  public:
    using Handler = std::function<std::pair<int, Json>(const std::string& method,
                                                       const std::string& path, const Json& body)>;
    Served(event_base* base, Handler handler, const std::string& ip = "127.0.0.1")
        : handler_(std::move(handler)), http_(evhttp_new(base)) {
        evhttp_set_allowed_methods(http_.get(),
                                   EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
        evhttp_set_gencb(
            http_.get(), [](evhttp_request* r, void* self) { static_cast<Served*>(self)->take(r); },
            this);
        auto* bound = evhttp_bind_socket_with_handle(http_.get(), ip.c_str(), 0);
        sockaddr_in a{};
        socklen_t n = sizeof a;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&a), &n);
        address = ip + ":" + std::to_string(ntohs(a.sin_port));
    }
    std::string address;

  private:
    void take(evhttp_request* r) {
        evbuffer* in = evhttp_request_get_input_buffer(r);
        std::size_t size = evbuffer_get_length(in);
        std::string body(size, '\0');
        evbuffer_remove(in, body.data(), size);
        auto cmd = evhttp_request_get_command(r);
        const char* m = cmd == EVHTTP_REQ_GET ? "GET" : cmd == EVHTTP_REQ_POST ? "POST" : "DELETE";
        auto [code, answer] =
            handler_(m, evhttp_request_get_uri(r), unpack(body).value_or(Json::object()));
        std::string out = pack(answer);
        evbuffer_add(evhttp_request_get_output_buffer(r), out.data(), out.size());
        evhttp_send_reply(r, code, "-", nullptr);
    }
    Handler handler_;
    HttpServerHandle http_;
};

// The state service, without its limits; a watch never waits.
struct State {
    std::map<std::string, std::pair<Json, std::uint64_t>> rows;
    std::map<std::string, std::uint64_t> leased;
    std::map<std::uint64_t, std::pair<std::int64_t, std::chrono::steady_clock::time_point>> leases;
    std::vector<Json> log;
    std::uint64_t revision = 0, next = 1;

    void expire() {
        auto now = std::chrono::steady_clock::now();
        for (auto it = leases.begin(); it != leases.end();) {
            if (now < it->second.second) {
                ++it;
                continue;
            }
            for (auto& [key, lease] : std::map(leased)) {
                if (lease != it->first) {
                    continue;
                }
                rows.erase(key);
                leased.erase(key);
                log.push_back(Json{{"drop", key}, {"stamp", ++revision}});
            }
            it = leases.erase(it);
        }
    }
    static std::string arg(const std::string& path, const std::string& name) {
        auto at = path.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        at += name.size() + 1;
        return path.substr(at, path.find('&', at) - at);
    }
    std::pair<int, Json> serve(const std::string& m, const std::string& path, const Json& b) {
        expire();
        if (path.rfind("/changes", 0) == 0) {
            Json events = Json::array();
            std::uint64_t after = std::stoull(arg(path, "after"));
            for (const Json& e : log) {
                if (e["stamp"].get<std::uint64_t>() > after) {
                    events.push_back(e);
                }
            }
            return {200, Json{{"ledgerRev", revision}, {"events", events}}};  // (never waits)
        }
        if (path.rfind("/keys?", 0) == 0) {
            Json list = Json::array();
            for (auto& [key, row] : rows) {
                if (key.rfind(arg(path, "prefix"), 0) == 0) {
                    list.push_back(Json{{"k", key}, {"value", row.first}, {"stamp", row.second}});
                }
            }
            return {200, Json{{"rows", list}, {"truncated", false}, {"ledgerRev", revision}}};
        }
        if (path.rfind("/keys/", 0) == 0) {
            auto it = rows.find(path.substr(6));
            if (it == rows.end()) {
                return {404, Json{{"ledgerRev", revision}}};
            }
            return {
                200,
                Json{{"k", it->first}, {"value", it->second.first}, {"stamp", it->second.second}}};
        }
        if (path == "/leases") {
            auto ttl = b.at("lifeMs").get<std::int64_t>();
            leases[next] = {ttl, std::chrono::steady_clock::now() + std::chrono::milliseconds(ttl)};
            return {200, Json{{"permit", next++}}};
        }
        if (path.rfind("/leases/", 0) == 0) {
            auto it = leases.find(std::stoull(path.substr(8)));
            if (it == leases.end()) {
                return {404, Json::object()};
            }
            it->second.second = std::chrono::steady_clock::now() +
                                std::chrono::milliseconds(m == "DELETE" ? -1 : it->second.first);
            expire();
            return {200, Json{{"permit", 1}}};
        }
        return transact(b);
    }
    std::pair<int, Json> transact(const Json& b) {
        Json failed = Json::array();
        for (const Json& c : b.at("if")) {
            auto it = rows.find(c["k"].get<std::string>());
            if ((it == rows.end() ? 0 : it->second.second) != c["stamp"].get<std::uint64_t>()) {
                failed.push_back(c["k"]);
            }
        }
        if (!failed.empty()) {
            return {409, Json{{"failed", failed}, {"ledgerRev", revision}}};
        }
        ++revision;
        for (const Json& w : b.at("writes")) {
            if (w.contains("drop")) {
                if (rows.erase(w["drop"].get<std::string>())) {
                    log.push_back(Json{{"drop", w["drop"]}, {"stamp", revision}});
                }
                continue;
            }
            auto key = w["write"].get<std::string>();
            rows[key] = {w["value"], revision};
            if (w.contains("permit")) {
                leased[key] = w["permit"].get<std::uint64_t>();
            }
            log.push_back(Json{{"write", key}, {"value", w["value"]}, {"stamp", revision}});
        }
        return {200, Json{{"ledgerRev", revision}}};
    }
};

}  // namespace walkford::transport
