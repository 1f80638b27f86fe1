#include "site.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace site {

using walkford::protocol::HttpRequest;
using walkford::protocol::InvalidText;
using walkford::protocol::pack;
using walkford::protocol::unpack;
using walkford::protocol::UnpackLimits;

double now_s() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void Record::line(const std::string& text) {
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ", now_s());
    out_ << stamp << text << "\n" << std::flush;
}

void Timers::at(double when, std::function<void()> run) {
    auto* entry = new Entry{std::move(run)};
    entry->timer = evtimer_new(base_, fire, entry);
    long wait = std::max(0L, static_cast<long>((when - now_s()) * 1000));
    timeval time = walkford::transport::to_timeval(wait);
    evtimer_add(entry->timer, &time);
}

void Timers::fire(evutil_socket_t, short, void* arg) {
    std::unique_ptr<Entry> entry(static_cast<Entry*>(arg));
    event_free(entry->timer);
    entry->run();
}

namespace {

std::string query(const std::string& path, const std::string& name) {
    auto mark = path.find('?');
    while (mark != std::string::npos) {
        std::size_t begin = mark + 1;
        std::size_t end = path.find('&', begin);
        std::string part = path.substr(begin, end == std::string::npos ? end : end - begin);
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
        mark = end;
    }
    return "";
}

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

// Controllers listen on a loopback address that depends on the process, so that two runs at the
// same time don't take each other's ports.
std::string controllers_ip() {
    auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + (pid >> 16) % 64) + "." + std::to_string((pid >> 8) % 256) +
           "." + std::to_string(1 + pid % 254);
}

int free_port() {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, controllers_ip().c_str(), &name.sin_addr);
    bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name);
    socklen_t size = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
    close(fd);
    return ntohs(name.sin_port);
}

std::string job_of(const std::string& piece) { return piece.substr(0, piece.find('/')); }
int index_of(const std::string& piece) { return std::stoi(piece.substr(piece.find('/') + 1)); }

}  // namespace

Server::Server(event_base* base, Handler handler)
    : handler_(std::move(handler)), http_(evhttp_new(base)) {
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(
        http_.get(),
        [](evhttp_request* request, void* self) { static_cast<Server*>(self)->handle(request); },
        this);
    auto* bound = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", 0);
    if (!bound) {
        throw std::runtime_error("no free port");
    }
    sockaddr_in name{};
    socklen_t size = sizeof name;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&name), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
}

void Server::handle(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    auto command = evhttp_request_get_command(request);
    std::string method = command == EVHTTP_REQ_GET    ? "GET"
                         : command == EVHTTP_REQ_POST ? "POST"
                                                      : "DELETE";
    auto reply = [request](int code, const Json& answer) {
        std::string packed = pack(answer);
        evbuffer_add(evhttp_request_get_output_buffer(request), packed.data(), packed.size());
        evhttp_send_reply(request, code, "-", nullptr);
    };
    handler_(method, evhttp_request_get_uri(request), unpack(body).value_or(Json::object()), reply);
}

bool Bucket::take(double amount) {
    double now = now_s();
    level_ = std::min(size_, level_ + (now - at_) * rate_);
    at_ = now;
    if (level_ < amount) {
        return false;
    }
    level_ -= amount;
    return true;
}

// ---- State service

StateService::StateService(event_base* base, Timers& timers, const Settings& settings)
    : timers_(timers),
      settings_(settings),
      requests_(settings.state_rps, 1),
      writes_(settings.state_write_rps, 1),
      server_(base, [this](const std::string& method, const std::string& path, const Json& body,
                           Server::Reply reply) { handle(method, path, body, std::move(reply)); }) {
    auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, tick] {
        expire_leases();
        serve_watches();
        timers_.after(0.02, *tick);
    };
    timers_.after(0.02, *tick);
}

std::string StateService::leader() const {
    auto row = rows_.find("w/leader");
    return row == rows_.end() ? "" : row->second.value.value("node", "");
}

void StateService::log_event(Json event, const std::string& key) {
    event["stamp"] = revision_;
    log_.push_back({key, revision_, std::move(event)});
    while (log_.size() > 10000) {
        dropped_until_ = log_.front().stamp;
        log_.pop_front();
    }
}

void StateService::drop_lease(std::uint64_t permit) {
    leases_.erase(permit);
    std::vector<std::string> keys;
    for (const auto& [key, row] : rows_) {
        if (row.permit == permit) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++revision_;
    for (const std::string& key : keys) {
        rows_.erase(key);
        log_event(Json{{"drop", key}}, key);
    }
}

void StateService::expire_leases() {
    std::vector<std::uint64_t> ended;
    for (const auto& [permit, lease] : leases_) {
        if (now_s() >= lease.until) {
            ended.push_back(permit);
        }
    }
    for (std::uint64_t permit : ended) {
        drop_lease(permit);
    }
}

Json StateService::events(const std::string& prefix, std::uint64_t after) const {
    Json list = Json::array();
    for (const Event& event : log_) {
        if (event.stamp > after && starts_with(event.key, prefix)) {
            list.push_back(event.json);
        }
    }
    return list;
}

bool StateService::changed(const Watch& watch) const {
    for (auto event = log_.rbegin(); event != log_.rend() && event->stamp > watch.after; ++event) {
        if (starts_with(event->key, watch.prefix)) {
            return true;
        }
    }
    return false;
}

void StateService::serve_watches() {
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        if (now_s() >= watch->until || changed(*watch)) {
            watch->reply(200, Json{{"ledgerRev", revision_},
                                   {"events", events(watch->prefix, watch->after)}});
            watch = watches_.erase(watch);
        } else {
            ++watch;
        }
    }
}

void StateService::handle(const std::string& method, const std::string& path, const Json& body,
                          Server::Reply reply) {
    expire_leases();
    std::string mode = trouble ? trouble(method, path, body) : "";
    if (mode == "refuse") {
        reply(503, Json{{"error", "trouble"}});
        return;
    }
    if (!requests_.take(1)) {
        reply(429, Json{{"error", "too many requests"}});
        return;
    }
    if (starts_with(path, "/changes")) {
        Watch watch;
        watch.prefix = query(path, "prefix");
        watch.after = std::stoull(query(path, "after"));
        std::string block = query(path, "blockMs");
        watch.until = now_s() + (block.empty() ? 0 : std::stod(block) / 1000);
        watch.reply = std::move(reply);
        if (watch.after < dropped_until_) {
            watch.reply(410, Json{{"ledgerRev", revision_}});
            return;
        }
        watches_.push_back(std::move(watch));
        serve_watches();
        return;
    }
    std::pair<int, Json> answer{400, Json{{"error", "malformed"}}};
    if (starts_with(path, "/keys?")) {
        std::string prefix = query(path, "prefix"), after = query(path, "after");
        std::string most = query(path, "most");
        std::size_t limit = std::min<std::size_t>(1000, most.empty() ? 1000 : std::stoul(most));
        Json rows = Json::array();
        bool truncated = false;
        std::size_t bytes = 0;
        for (auto row = rows_.lower_bound(prefix);
             row != rows_.end() && starts_with(row->first, prefix); ++row) {
            if (!after.empty() && row->first <= after) {
                continue;
            }
            bytes += row->second.value.dump().size();
            if (rows.size() >= limit || bytes > 500000) {
                truncated = true;
                break;
            }
            rows.push_back(Json{
                {"k", row->first}, {"value", row->second.value}, {"stamp", row->second.stamp}});
        }
        answer = {200, Json{{"rows", rows}, {"truncated", truncated}, {"ledgerRev", revision_}}};
    } else if (starts_with(path, "/keys/")) {
        auto row = rows_.find(path.substr(6));
        if (row == rows_.end()) {
            answer = {404, Json{{"ledgerRev", revision_}}};
        } else {
            answer = {200, Json{{"k", row->first},
                                {"value", row->second.value},
                                {"stamp", row->second.stamp}}};
            if (row->second.permit) {
                answer.second["permit"] = row->second.permit;
            }
        }
    } else if (path == "/leases") {
        double life = body.value("lifeMs", 0.0) / 1000;
        leases_[next_permit_] = {life, now_s() + life};
        answer = {200, Json{{"permit", next_permit_++}}};
    } else if (starts_with(path, "/leases/")) {
        std::uint64_t permit = std::stoull(path.substr(8));
        auto lease = leases_.find(permit);
        if (lease == leases_.end()) {
            answer = {404, Json::object()};
        } else if (method == "DELETE") {
            drop_lease(permit);
            answer = {200, Json::object()};
        } else {
            lease->second.until = now_s() + lease->second.life;
            answer = {200, Json{{"permit", permit}}};
        }
    } else if (path == "/txn") {
        answer = commit(body);
    }
    if (mode != "lost") {
        reply(answer.first, answer.second);
    }
    serve_watches();
}

std::pair<int, Json> StateService::commit(const Json& body) {
    const Json& writes = body.at("writes");
    const Json& conditions = body.at("if");
    if (writes.size() > static_cast<std::size_t>(settings_.state_txn_ops) ||
        conditions.size() > 4U * settings_.state_txn_ops || body.dump().size() > 65536) {
        return {400, Json{{"error", "too large"}}};
    }
    for (const Json& write : writes) {
        if (write.contains("write") &&
            write["value"].dump().size() > settings_.state_value_kb * 1024) {
            return {400, Json{{"error", "too large"}}};
        }
    }
    if (!writes_.take(static_cast<double>(writes.size()))) {
        return {429, Json{{"error", "too many changes"}}};
    }
    for (const Json& write : writes) {
        if (write.contains("permit") && !leases_.count(write["permit"].get<std::uint64_t>())) {
            return {400, Json{{"error", "no such lease"}}};
        }
    }
    Json failed = Json::array();
    for (const Json& condition : conditions) {
        auto row = rows_.find(condition["k"].get<std::string>());
        std::uint64_t stamp = row == rows_.end() ? 0 : row->second.stamp;
        if (stamp != condition["stamp"].get<std::uint64_t>()) {
            failed.push_back(condition["k"]);
        }
    }
    if (!failed.empty()) {
        return {409, Json{{"failed", failed}, {"ledgerRev", revision_}}};
    }
    if (writes.empty()) {
        return {200, Json{{"ledgerRev", revision_}}};
    }
    ++revision_;
    for (const Json& write : writes) {
        if (write.contains("drop")) {
            auto key = write["drop"].get<std::string>();
            if (rows_.erase(key)) {
                log_event(Json{{"drop", key}}, key);
            }
            continue;
        }
        auto key = write["write"].get<std::string>();
        rows_[key] = {write["value"], revision_, write.value("permit", std::uint64_t{0})};
        log_event(Json{{"write", key}, {"value", write["value"]}}, key);
    }
    return {200, Json{{"ledgerRev", revision_}}};
}

// ---- Workers

Worker::Worker(Deployment& site, std::string name_, std::string build_, std::string yard_,
               bool loaner_, bool sick_)
    : name(std::move(name_)),
      build(std::move(build_)),
      yard(std::move(yard_)),
      loaner(loaner_),
      sick(sick_),
      site_(site) {
    lease_from_ = now_s();
    next_report_ = now_s();
    node = site.random() % site.serve.size();
    server_ = std::make_unique<Server>(
        site.base.get(), [this](const std::string& method, const std::string& path,
                                const Json& body, Server::Reply reply) {
            if (method == "GET" && path == "/status") {
                reply(200, report());
                return;
            }
            if (path != "/orders" || !body.contains("baton") || !body.contains("stint")) {
                reply(400, Json{{"error", "malformed"}});
                return;
            }
            auto baton = body["baton"].get<std::uint64_t>();
            if (baton < baton_ || body["stint"].get<std::uint64_t>() != stint_) {
                reply(409, report());
                return;
            }
            if (baton > baton_) {
                baton_ = baton;
                change();
            }
            execute(body.value("orders", Json::array()));
            reply(200, report());
        });
}

Worker::~Worker() { *alive_ = false; }

bool Worker::holds(const std::string& piece) const {
    auto found = pieces.find(piece);
    return found != pieces.end() && found->second.status != "pulling" &&
           found->second.status != "exited";
}

void Worker::change() {
    next_report_ = std::min(next_report_, std::max(now_s(), last_report_ + 0.5));
}

void Worker::expire_lease() {
    if (now_s() <= lease_from_ + site_.settings.lease_s) {
        return;
    }
    if (!pieces.empty()) {
        site_.log(name + ": lease expired, " + std::to_string(pieces.size()) + " tasks killed");
    }
    for (auto& [piece, state] : pieces) {
        if (state.status != "exited" && site_.on_exit) {
            site_.on_exit(piece, *this, "lease expired");
        }
    }
    pieces.clear();
    ++stint_;
    lease_from_ = now_s();
    change();
}

void Worker::step() {
    expire_lease();
    std::vector<std::string> names;
    for (const auto& [piece, state] : pieces) {
        names.push_back(piece);
    }
    for (const std::string& piece : names) {
        auto found = pieces.find(piece);
        if (found != pieces.end()) {
            step_piece(piece, found->second);
        }
    }
    if (!in_flight_ && now_s() >= next_report_) {
        send_report();
    }
}

void Worker::exit_piece(const std::string& piece, PieceState& state, const std::string& cause,
                        bool kept) {
    bool was_on = state.status != "pulling";
    state.status = "exited";
    state.cause = cause;
    state.kept = kept;
    site_.log(name + ": " + piece + " try " + std::to_string(state.attempt) + " exits, " + cause);
    if (was_on && site_.on_exit) {
        site_.on_exit(piece, *this, cause);
    }
    change();
}

void Worker::step_gang(const std::string& piece, PieceState& state) {
    const JobText& job = site_.jobs.at(job_of(piece));
    int ready = 0, running = 0;
    for (auto& [other_name, other] : site_.cloud->workers) {
        for (auto& [other_piece, other_state] : other->pieces) {
            if (job_of(other_piece) != job_of(piece) || other_state.attempt != state.attempt) {
                continue;
            }
            ready += other_state.status == "waiting" || other_state.status == "running" ||
                     other_state.status == "flushing";
            running += other_state.status == "running" || other_state.status == "flushing";
        }
    }
    if (state.status == "waiting") {
        if (ready == job.pieces) {
            state.status = "running";
            state.running_at = now_s();
            state.next = now_s() + job.run_s;
            change();
        } else if (now_s() > state.image_at + site_.settings.gang_wait_s) {
            exit_piece(piece, state, "alone");
        }
        return;
    }
    if (state.status == "running" && running < job.pieces) {
        if (state.kept) {  // used here as a mark: a mate is missing since `next`
            if (now_s() >= state.next) {
                state.kept = false;
                exit_piece(piece, state, "mates_gone");
            }
            return;
        }
        state.kept = true;
        state.next = now_s() + site_.settings.gang_peer_s;
    }
}

void Worker::step_piece(const std::string& piece, PieceState& state) {
    JobText& job = site_.jobs.at(job_of(piece));
    if (state.status == "exited") {
        return;
    }
    if (state.status == "pulling") {
        if (now_s() < state.next) {
            return;
        }
        images_.insert(job.image);
        state.image_at = now_s();
        if (job.done.count(index_of(piece))) {
            exit_piece(piece, state, "done");
            return;
        }
        site_.log(name + ": " + piece + " try " + std::to_string(state.attempt) + " starts");
        if (site_.on_start) {
            site_.on_start(piece, *this, state.attempt);
        }
        if (job.gang && job.pieces > 1) {
            state.status = "waiting";
        } else {
            state.status = "running";
            state.running_at = now_s();
            state.next = now_s() + (job.mistaken || sick ? 0.5 : job.run_s);
        }
        change();
        return;
    }
    if (state.status == "flushing") {
        if (now_s() >= state.next) {
            exit_piece(piece, state, "stopped", true);
        }
        return;
    }
    if (job.gang && job.pieces > 1) {
        std::string before = state.status;
        step_gang(piece, state);
        if (state.status != "running" || state.kept || now_s() < state.next) {
            return;
        }
    }
    if (state.status == "running" && now_s() >= state.next && !(job.service && !job.mistaken)) {
        if (job.mistaken || sick) {
            exit_piece(piece, state, "error");
            return;
        }
        if (job.gang) {
            for (int i = 0; i < job.pieces; ++i) {
                job.done.insert(i);
            }
            std::uint64_t attempt = state.attempt;
            for (auto& [other_name, other] : site_.cloud->workers) {
                for (auto& [other_piece, other_state] : other->pieces) {
                    if (job_of(other_piece) == job_of(piece) && other_state.attempt == attempt &&
                        other_state.status == "running") {
                        other->exit_piece(other_piece, other_state, "done");
                    }
                }
            }
            return;
        }
        job.done.insert(index_of(piece));
        exit_piece(piece, state, "done");
    }
}

Json Worker::report() {
    Json list = Json::array();
    for (const auto& [piece, state] : pieces) {
        Json entry{{"piece", piece}, {"try", state.attempt}, {"status", state.status}};
        if (state.status == "exited") {
            entry["cause"] = state.cause;
            if (state.cause == "stopped") {
                entry["kept"] = state.kept;
            }
        }
        list.push_back(std::move(entry));
    }
    return Json{{"walker", name},  {"endpoint", address()}, {"build", build},
                {"yard", yard},    {"loaners", loaner},     {"stint", stint_},
                {"tick", ++tick_}, {"baton", baton_},       {"warningS", nullptr},
                {"pieces", list}};
}

void Worker::send_report() {
    in_flight_ = true;
    last_report_ = now_s();
    double spread = std::uniform_real_distribution<double>(0.75, 1.25)(site_.random);
    next_report_ = now_s() + site_.settings.report_s * spread;
    site_.worker_client(name, node)
        .send(HttpRequest{Method::post, "/agent/beat", pack(report())},
              [this, sent = now_s(), stint = stint_, alive = alive_](int code,
                                                                     std::string_view body) {
                  if (*alive) {
                      answered(sent, stint, code, unpack(body).value_or(Json::object()));
                  }
              });
}

void Worker::answered(double sent, std::uint64_t stint, int code, const Json& body) {
    in_flight_ = false;
    if (code == 200) {
        auto baton = body.value("baton", std::uint64_t{0});
        if (baton < baton_ || stint != stint_) {
            return;
        }
        if (baton > baton_) {
            baton_ = baton;
            change();
        }
        lease_from_ = std::max(lease_from_, sent);
        execute(body.value("orders", Json::array()));
        return;
    }
    std::string foreman = code == 421 ? body.value("foreman", "") : "";
    int named = foreman.empty() ? -1 : site_.node_by_name(foreman);
    if (named >= 0 && static_cast<std::size_t>(named) != node) {
        node = static_cast<std::size_t>(named);
        next_report_ = now_s() + 0.1;
        return;
    }
    node = (node + 1) % site_.serve.size();
    next_report_ = now_s() + 1;
}

void Worker::execute(const Json& orders) {
    for (const Json& order : orders) {
        auto verb = order.at("verb").get<std::string>();
        auto piece = order.at("piece").get<std::string>();
        auto attempt = order.at("try").get<std::uint64_t>();
        if (verb == "run") {
            run_order(piece, attempt);
        } else if (verb == "halt") {
            halt_order(piece, attempt, order.value("leewayS", 0.0));
        } else if (verb == "clear") {
            auto found = pieces.find(piece);
            if (found != pieces.end() && found->second.attempt == attempt &&
                found->second.status == "exited") {
                pieces.erase(found);
            }
        }
    }
}

void Worker::run_order(const std::string& piece, std::uint64_t attempt) {
    auto known = pieces.find(piece);
    if (known != pieces.end() && known->second.attempt == attempt) {
        return;
    }
    auto job = site_.jobs.find(job_of(piece));
    PieceState state;
    state.attempt = attempt;
    if (job == site_.jobs.end()) {
        state.status = "exited";
        state.cause = "unknown";
        pieces[piece] = state;
        return;
    }
    if (known != pieces.end() && known->second.status != "exited") {
        site_.log(name + ": " + piece + " busy");
        return;
    }
    double cpus = 0, gpus = 0, ram = 0;
    for (const auto& [other, other_state] : pieces) {
        if (other_state.status == "exited") {
            continue;
        }
        const JobText& text = site_.jobs.at(job_of(other));
        cpus += text.vcpus;
        gpus += text.gpus;
        ram += text.ram_gb;
    }
    double fetch = 1;
    for (const Json& flavor : site_.settings.flavors) {
        if (flavor["name"] != build) {
            continue;
        }
        fetch = job->second.image_gb / flavor["fetchGbPerS"].get<double>();
        if (cpus + job->second.vcpus > flavor["vcpus"].get<double>() + 1e-6 ||
            gpus + job->second.gpus > flavor["gpus"].get<double>() + 1e-6 ||
            ram + job->second.ram_gb > flavor["ramGb"].get<double>() + 1e-6) {
            state.status = "exited";
            state.cause = "no_room";
            pieces[piece] = state;
            site_.log(name + ": " + piece + " no_room");
            change();
            return;
        }
    }
    site_.log(name + ": run " + piece + " try " + std::to_string(attempt));
    state.next = now_s() + (images_.count(job->second.image) ? 0 : fetch);
    pieces[piece] = state;
    change();
}

void Worker::halt_order(const std::string& piece, std::uint64_t attempt, double leeway) {
    auto found = pieces.find(piece);
    if (found == pieces.end() || found->second.attempt != attempt ||
        found->second.status == "exited") {
        return;
    }
    PieceState& state = found->second;
    const JobText& job = site_.jobs.at(job_of(piece));
    if (state.status == "flushing") {
        if (leeway <= 0) {
            exit_piece(piece, state, "stopped");
        }
        return;
    }
    site_.log(name + ": halt " + piece + " try " + std::to_string(attempt) + " leeway " +
              std::to_string(leeway));
    if (site_.on_halt) {
        site_.on_halt(piece, *this, leeway);
    }
    if (state.status == "running" && job.bookmark_s > 0 && leeway >= job.stash_s) {
        state.status = "flushing";
        state.next = now_s() + job.stash_s;
        change();
        return;
    }
    exit_piece(piece, state, "stopped");
}

// ---- Cloud

Cloud::Cloud(event_base* base, Deployment& site)
    : site_(site),
      requests_(site.settings.cloud_rps, 2),
      server_(base, [this](const std::string& method, const std::string& path, const Json& body,
                           Server::Reply reply) { handle(method, path, body, std::move(reply)); }) {
}

std::string Cloud::new_machine(const std::string& build, const std::string& yard, bool loaner) {
    char uid[32];
    std::snprintf(uid, sizeof uid, "host-%06d", next_machine_++);
    Machine machine;
    machine.uid = uid;
    machine.build = build;
    machine.yard = yard;
    machine.loaner = loaner;
    machine.created = now_s();
    machine.up_at = now_s() + boot_s;
    machines_[uid] = machine;
    return uid;
}

void Cloud::add_running(const std::string& build, const std::string& yard, double held_s) {
    std::string uid = new_machine(build, yard, false);
    machines_[uid].created = -1000;
    machines_[uid].up_at = -1000;
    machines_[uid].held_before = held_s;
    step();
}

void Cloud::step() {
    for (auto& [uid, machine] : machines_) {
        if (machine.gone < 0 && machine.up_at <= now_s() && !workers.count(uid)) {
            workers[uid] = std::make_unique<Worker>(site_, uid, machine.build, machine.yard,
                                                    machine.loaner, false);
            machine.endpoint = workers[uid]->address();
            site_.log(uid + " is up");
        }
    }
    for (auto& [uid, worker] : workers) {
        worker->step();
    }
}

Json Cloud::list(const std::string& after, std::size_t most) {
    double time = now_s() - site_.settings.cloud_list_lag_s;
    Json walkers = Json::array();
    bool truncated = false;
    for (const auto& [uid, machine] : machines_) {
        if (uid <= after || machine.created > time || (machine.gone >= 0 && machine.gone <= time)) {
            continue;
        }
        if (walkers.size() == most) {
            truncated = true;
            break;
        }
        double held = machine.held_before > 0 ? machine.held_before + time : time - machine.created;
        walkers.push_back(
            Json{{"uid", uid},
                 {"endpoint", machine.endpoint.empty() ? Json() : Json(machine.endpoint)},
                 {"build", machine.build},
                 {"yard", machine.yard},
                 {"loaners", machine.loaner},
                 {"status", machine.up_at <= time ? "running" : "booting"},
                 {"heldS", held}});
    }
    return Json{{"walkers", walkers}, {"truncated", truncated}};
}

void Cloud::handle(const std::string& method, const std::string& path, const Json& body,
                   Server::Reply reply) {
    if (!requests_.take(1)) {
        reply(429, Json{{"error", "too many requests"}});
        return;
    }
    if (path == "/flavors") {
        reply(200, Json{{"builds", site_.settings.flavors}});
        return;
    }
    if (method == "GET") {
        std::string most = query(path, "most");
        Json answer = list(query(path, "after"), most.empty() ? 500 : std::stoul(most));
        if (answer != last_list_) {
            double longest = 0;
            std::string text;
            for (const Json& machine : answer["walkers"]) {
                longest = std::max(longest, machine["heldS"].get<double>());
                text += " " + machine["uid"].get<std::string>() + " " +
                        machine["status"].get<std::string>();
            }
            if (text != last_listed_) {
                site_.log("cloud: list" + text + "; the longest held for " +
                          std::to_string(static_cast<long>(longest)) + " s");
                last_listed_ = text;
            }
            last_list_ = answer;
        }
        reply(200, answer);
        return;
    }
    if (path == "/machines/return") {
        for (const Json& uid : body.at("walkers")) {
            auto machine = machines_.find(uid.get<std::string>());
            if (machine == machines_.end() || machine->second.gone >= 0) {
                continue;
            }
            machine->second.gone = now_s();
            site_.log("cloud: " + machine->first + " is returned");
            auto worker = workers.find(machine->first);
            if (worker != workers.end()) {
                for (auto& [piece, state] : worker->second->pieces) {
                    if (state.status != "exited" && site_.on_exit) {
                        site_.on_exit(piece, *worker->second, "machine returned");
                    }
                }
                workers.erase(worker);
            }
            ++capacity;
        }
        reply(200, Json::object());
        return;
    }
    auto hire = body.at("hire").get<std::string>();
    if (hires_.count(hire)) {
        reply(200, hires_[hire]);
        return;
    }
    int count = std::min(body.at("howMany").get<int>(), refuse ? 0 : capacity);
    if (count <= 0) {
        site_.log("cloud: " + hire + " for " + body["build"].get<std::string>() +
                  " refused, no capacity");
        reply(503, Json{{"error", "no capacity"}});
        return;
    }
    Json names = Json::array();
    for (int i = 0; i < count; ++i) {
        names.push_back(new_machine(body["build"].get<std::string>(),
                                    body["yard"].get<std::string>(), body["loaners"].get<bool>()));
    }
    capacity -= count;
    hires_[hire] = Json{{"walkers", names}};
    site_.log("cloud: " + hire + " grants " + names.dump());
    reply(200, hires_[hire]);
}

// ---- The whole

Deployment::Deployment(Settings settings_, const std::string& directory_, const std::string& root_,
                       const std::string& record_)
    : settings(std::move(settings_)),
      directory(directory_),
      root(root_),
      record(record_),
      base(event_base_new()),
      timers(base.get()) {
    now_s();
    for (int i = 0; i < settings.nodes; ++i) {
        serve.push_back(controllers_ip() + ":" + std::to_string(free_port()));
        cluster.push_back(controllers_ip() + ":" + std::to_string(free_port()));
        pids.push_back(0);
        user_clients.push_back(
            std::make_unique<HttpClient>(base.get(), serve.back(), 20, 5000, false));
    }
    state = std::make_unique<StateService>(base.get(), timers, settings);
    cloud = std::make_unique<Cloud>(base.get(), *this);
}

Deployment::~Deployment() {
    for (std::size_t i = 0; i < pids.size(); ++i) {
        kill_node(static_cast<int>(i));
    }
    worker_clients.clear();
    user_clients.clear();
}

void Deployment::start_node(int node) {
    Json seeds = Json::array();
    for (int i = 0; i < settings.nodes; ++i) {
        if (i != node) {
            seeds.push_back(Json{{"node_name", "walker-" + std::to_string(i)},
                                 {"location", settings.node_zones[i]},
                                 {"endpoint", cluster[i]}});
        }
    }
    Json document{
        {"node_name", "walker-" + std::to_string(node)},
        {"location", settings.node_zones[node]},
        {"serve_on", serve[node]},
        {"cluster_listen", cluster[node]},
        {"seeds", seeds},
        {"external", {{"cloud", cloud->address()}, {"state", state->address()}}},
        {"params",
         {{"nodes", settings.nodes},
          {"zones", settings.zones},
          {"teams", settings.teams},
          {"objectives", settings.objectives},
          {"workers",
           {{"report_s", settings.report_s},
            {"lease_s", settings.lease_s},
            {"gang_wait_s", settings.gang_wait_s},
            {"gang_peer_s", settings.gang_peer_s},
            {"cancel_s", settings.cancel_s}}},
          {"state",
           {{"rps", settings.state_rps},
            {"write_rps", settings.state_write_rps},
            {"value_kb", settings.state_value_kb},
            {"txn_ops", settings.state_txn_ops}}},
          {"cloud", {{"rps", settings.cloud_rps}, {"list_lag_s", settings.cloud_list_lag_s}}},
          {"machine_limits",
           {{"cores", settings.cores},
            {"ram_mb", settings.ram_mb},
            {"fd_limit", settings.fd_limit}}},
          {"skew_ms", 100.0}}}};
    std::string path = directory + "/walker-" + std::to_string(node) + ".json";
    std::ofstream(path) << document.dump();

    // The command of the deploy file.
    std::ifstream deploy(root + "/deploy/service.toml");
    std::string line, command;
    while (std::getline(deploy, line)) {
        if (starts_with(line, "run = \"")) {
            command = line.substr(7, line.rfind('"') - 7);
        }
    }
    std::vector<std::string> words;
    std::istringstream text(command);
    for (std::string word; text >> word;) {
        words.push_back(word);
    }
    words.push_back(path);
    std::vector<char*> arguments;
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::string errors = directory + "/walker-" + std::to_string(node) + ".log";
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setpgid(0, 0);
        if (getppid() != parent || chdir(root.c_str()) != 0) {
            _exit(126);
        }
        int fd = open(errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 2);
        for (int other = 3; other < 1024; ++other) {
            close(other);
        }
        setenv("LOG_LEVEL", "debug", 1);
        execv(arguments[0], arguments.data());
        _exit(127);
    }
    pids[node] = pid;
    log("walker-" + std::to_string(node) + " started");
}

void Deployment::signal_node(int node, int signal) {
    if (pids[node] > 0) {
        kill(pids[node], signal);
    }
}

void Deployment::kill_node(int node) {
    if (pids[node] > 0) {
        kill(pids[node], SIGKILL);
        waitpid(pids[node], nullptr, 0);
        pids[node] = 0;
        log("walker-" + std::to_string(node) + " killed");
    }
}

bool Deployment::node_ended(int node) {
    int status = 0;
    if (pids[node] > 0 && waitpid(pids[node], &status, WNOHANG) == pids[node]) {
        log("walker-" + std::to_string(node) + " ended by itself, status " +
            std::to_string(status));
        pids[node] = 0;
        return true;
    }
    return false;
}

int Deployment::node_by_name(const std::string& name) const {
    for (int i = 0; i < settings.nodes; ++i) {
        if (name == "walker-" + std::to_string(i)) {
            return i;
        }
    }
    return -1;
}

HttpClient& Deployment::worker_client(const std::string& worker, std::size_t node) {
    auto& client = worker_clients[{worker, node}];
    if (!client) {
        client = std::make_unique<HttpClient>(base.get(), serve[node], 1, 4000, true);
    }
    return *client;
}

void Deployment::request(int node, Method method, const std::string& path, const Json& body,
                         const std::function<void(int, const Json&)>& answer) {
    user_clients[node]->send(HttpRequest{method, path, body.is_null() ? "" : pack(body)},
                             [answer](int code, std::string_view text) {
                                 answer(code, unpack(text).value_or(Json::object()));
                             });
}

Json Deployment::submission(const std::string& uid, const std::string& team,
                            const std::string& lane, const JobText& text) const {
    return Json{{"uid", uid},
                {"lane", lane},
                {"owner", team},
                {"shape", text.service ? "service"
                          : text.gang  ? "ensemble"
                                       : "batch"},
                {"rank", text.rank},
                {"pieces", text.pieces},
                {"vcpus", text.vcpus},
                {"gpus", text.gpus},
                {"ramGb", text.ram_gb},
                {"bundle", text.image},
                {"imageGb", text.image_gb},
                {"builds", nullptr},
                {"yard", nullptr},
                {"samePlace", false},
                {"spread", false},
                {"loaners", false},
                {"guessS", text.service ? 0.0 : text.run_s},
                {"bookmarkS", text.bookmark_s},
                {"stashS", text.stash_s},
                {"dueS", nullptr}};
}

void Deployment::submit(const std::string& uid, const Json& body, const JobText& text,
                        std::function<void(int)> accepted) {
    jobs.try_emplace(uid, text);
    int node = next_user_node++ % settings.nodes;
    double began = now_s();
    auto attempt = std::make_shared<std::function<void()>>();
    *attempt = [this, uid, body, accepted, began, attempt, node]() mutable {
        request(node, Method::post, "/work", body,
                [this, uid, accepted, began, attempt](int code, const Json&) {
                    log("user: POST " + uid + " -> " + std::to_string(code));
                    if (code == 200 || code == 201 || code == 400 || code == 422 ||
                        now_s() > began + 60) {
                        if (accepted) {
                            accepted(code);
                        }
                        return;
                    }
                    timers.after(1, *attempt);
                });
        node = (node + 1) % settings.nodes;
    };
    (*attempt)();
}

void Deployment::poll(const std::string& uid, std::function<void(const std::string&)> answer) {
    int node = next_user_node++ % settings.nodes;
    request(node, Method::get, "/work/" + uid, Json(),
            [this, uid, node, answer](int code, const Json& body) {
                std::string status = code == 200 ? body.value("status", "") : "";
                log("user: GET " + uid + " at walker-" + std::to_string(node) + " -> " +
                    std::to_string(code) + " " + status);
                answer(status);
            });
}

void Deployment::cancel(const std::string& uid,
                        std::function<void(int, const std::string&)> answer) {
    int node = next_user_node++ % settings.nodes;
    request(node, Method::post, "/work/" + uid + "/cancel", Json::object(),
            [this, uid, answer](int code, const Json& body) {
                std::string status = code == 200 ? body.value("status", "") : "";
                log("user: cancel " + uid + " -> " + std::to_string(code) + " " + status);
                answer(code, status);
            });
}

void Deployment::run(double until, const std::function<bool()>& done) {
    auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, tick] {
        cloud->step();
        timers.after(0.02, *tick);
    };
    (*tick)();
    while (now_s() < until && !done()) {
        event_base_loop(base.get(), EVLOOP_ONCE);
    }
}

}  // namespace site
