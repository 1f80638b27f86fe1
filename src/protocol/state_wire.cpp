// Calls to the state service and its answers.
#include <spdlog/spdlog.h>

#include "protocol/wire.hpp"
#include "protocol/wire_fields.hpp"

namespace walkford::protocol {

namespace {
constexpr PackLimits kStateLimits{std::size_t{8} * 1024 * 1024, std::size_t{1024} * 1024, 32};
}

HttpCall encode(const StoreRequest& c) {
    HttpCall h;
    switch (c.operation) {
        case StoreOperation::get:
            h.path = "/keys/" + c.key;
            break;
        case StoreOperation::list:
            h.path = "/keys?prefix=" + c.key;
            if (!c.after_key.empty()) {
                h.path += "&after=" + c.after_key;
            }
            h.path += "&most=400";
            break;
        case StoreOperation::changes:
            h.path = "/changes?prefix=" + c.key + "&after=" + std::to_string(c.after) +
                     "&blockMs=" + std::to_string(c.wait_ms);
            break;
        case StoreOperation::lease_grant:
            h.method = Method::post;
            h.path = "/leases";
            h.body = pack(Json{{"lifeMs", c.ttl_ms}});
            break;
        case StoreOperation::lease_renew:
            h.method = Method::post;
            h.path = "/leases/" + std::to_string(c.lease) + "/touch";
            h.body = pack(Json::object());
            break;
        case StoreOperation::lease_revoke:
            h.method = Method::del;
            h.path = "/leases/" + std::to_string(c.lease);
            break;
        case StoreOperation::transaction: {
            h.method = Method::post;
            h.path = "/txn";
            Json comparisons = Json::array();
            for (const Comparison& k : c.transaction.comparisons) {
                comparisons.push_back(Json{{"k", k.key}, {"stamp", k.version}});
            }
            Json writes = Json::array();
            for (const Write& w : c.transaction.writes) {
                if (!w.value) {
                    writes.push_back(Json{{"drop", w.key}});
                    continue;
                }
                Json v{{"write", w.key}, {"value", *w.value}};
                if (w.lease != 0) {
                    v["permit"] = w.lease;
                }
                writes.push_back(std::move(v));
            }
            h.body = pack(Json{{"if", std::move(comparisons)}, {"writes", std::move(writes)}});
            break;
        }
    }
    return h;
}

namespace {
StoreStatus status_of(int code) {
    switch (code) {
        case 0:
            return StoreStatus::no_response;
        case 200:
            return StoreStatus::ok;
        case 400:
            return StoreStatus::too_large;
        case 404:
            return StoreStatus::not_found;
        case 409:
            return StoreStatus::conflict;
        case 410:
            return StoreStatus::compacted;
        case 429:
            return StoreStatus::rate_limited;
        case 503:
            return StoreStatus::unavailable;
        default:
            return StoreStatus::unexpected;
    }
}
}  // namespace

StoreResponse decode_state(const StoreRequest& c, int code, std::string_view body) {
    StoreResponse r;
    r.call = c.call;
    r.status = status_of(code);
    if (r.status == StoreStatus::no_response || r.status == StoreStatus::rate_limited ||
        r.status == StoreStatus::unavailable) {
        return r;
    }
    if (body.empty() && (code == 204 || c.operation == StoreOperation::lease_revoke)) {
        return r;
    }
    auto doc = unpack(body, kStateLimits);
    if (!doc || !doc->is_object()) {
        // Whatever it meant, it may have been executed.
        if (code == 200) {
            r.status = StoreStatus::no_response;
        }
        return r;
    }
    const Json& b = *doc;
    try {
        if (!absent(b, "ledgerRev")) {
            r.revision = whole(b, "ledgerRev", "");
        }
        if (!absent(b, "failed")) {
            for (const Json& f : b["failed"]) {
                r.failed.push_back(f.get<std::string>());
            }
        }
        if (code != 200) {
            return r;
        }
        switch (c.operation) {
            case StoreOperation::get:
                r.rows.push_back({text(b, "k"), need(b, "value"), whole(b, "stamp", "")});
                break;
            case StoreOperation::list:
                for (const Json& row : need(b, "rows")) {
                    r.rows.push_back({text(row, "k"), need(row, "value"), whole(row, "stamp", "")});
                }
                r.more = !absent(b, "truncated") && b["truncated"].is_boolean() &&
                         b["truncated"].get<bool>();
                break;
            case StoreOperation::changes:
                for (const Json& e : need(b, "events")) {
                    if (!absent(e, "write")) {
                        r.rows.push_back(
                            {text(e, "write"), need(e, "value"), whole(e, "stamp", "")});
                    } else if (!absent(e, "drop")) {
                        r.rows.push_back({text(e, "drop"), std::nullopt, whole(e, "stamp", "")});
                    } else {
                        spdlog::warn("unknown event from the state service ignored");
                    }
                }
                break;
            case StoreOperation::lease_grant:
                r.lease = whole(b, "permit", "");
                break;
            default:
                break;
        }
    } catch (const BadField& e) {
        spdlog::warn("answer of the state service not understood: {}", e.what);
        r.status = StoreStatus::no_response;
        r.rows.clear();
    } catch (const Json::exception&) {
        spdlog::warn("answer of the state service not understood");
        r.status = StoreStatus::no_response;
        r.rows.clear();
    }
    return r;
}

}  // namespace walkford::protocol
