// Encodes requests to the store and decodes its responses.
#include <spdlog/spdlog.h>

#include "protocol/field_names.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/utf8.hpp"
#include "protocol/wire.hpp"

namespace walkford::protocol {

namespace fields = store_fields;

namespace {

// Large enough for a page of a list, which holds up to 400 values. Versions that did not check the
// text of submissions stored it as it was. Their jobs were accepted and must run, so invalid text
// in a value is replaced.
constexpr UnpackLimits kStoreLimits{std::size_t{8} * 1024 * 1024, std::size_t{1024} * 1024, 32,
                                    InvalidText::replace};

Json encode_write(const Write& write) {
    if (!write.value) {
        return Json{{fields::kDeletedKey, write.key}};
    }
    Json entry{{fields::kWrittenKey, write.key}, {fields::kValue, *write.value}};
    if (write.lease != 0) {
        entry[fields::kLease] = write.lease;
    }
    return entry;
}

Json encode_transaction(const Transaction& transaction) {
    Json comparisons = Json::array();
    for (const Comparison& comparison : transaction.comparisons) {
        comparisons.push_back(
            Json{{fields::kKey, comparison.key}, {fields::kVersion, comparison.version}});
    }
    Json writes = Json::array();
    for (const Write& write : transaction.writes) {
        writes.push_back(encode_write(write));
    }
    return Json{{fields::kComparisons, std::move(comparisons)},
                {fields::kWrites, std::move(writes)}};
}

std::string list_path(const StoreRequest& request) {
    std::string path = fields::kListPath + request.key;
    if (!request.after_key.empty()) {
        path += fields::kAfterParameter + request.after_key;
    }
    return path + fields::kListLimitParameter;
}

std::string changes_path(const StoreRequest& request) {
    return fields::kChangesPath + request.key + fields::kAfterParameter +
           std::to_string(request.after) + fields::kWaitMsParameter +
           std::to_string(request.wait_ms);
}

std::string lease_path(const StoreRequest& request) {
    return fields::kLeasePathPrefix + std::to_string(request.lease);
}

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

// A key must be the one in the store, so it must not contain replaced text.
std::string key_field(const Json& map, const char* field) {
    std::string key = string_field(map, field);
    if (key.find(kReplacementCharacter) != std::string::npos) {
        throw DecodeError::invalid(field);
    }
    return key;
}

StoreEntry decode_row(const Json& row) {
    return {key_field(row, fields::kKey), required_field(row, fields::kValue),
            unsigned_field(row, fields::kVersion)};
}

void decode_event(const Json& event, StoreResponse& response) {
    if (!absent_or_null(event, fields::kWrittenKey)) {
        response.rows.push_back({key_field(event, fields::kWrittenKey),
                                 required_field(event, fields::kValue),
                                 unsigned_field(event, fields::kVersion)});
    } else if (!absent_or_null(event, fields::kDeletedKey)) {
        response.rows.push_back({key_field(event, fields::kDeletedKey), std::nullopt,
                                 unsigned_field(event, fields::kVersion)});
    } else {
        spdlog::warn("store sent an event that is neither a write nor a deletion; ignoring it");
    }
}

// Decodes the fields that a response may have with any status.
void decode_common_fields(const Json& body, StoreResponse& response) {
    if (!absent_or_null(body, fields::kRevision)) {
        response.revision = unsigned_field(body, fields::kRevision);
    }
    if (!absent_or_null(body, fields::kFailedComparisons)) {
        for (const Json& key : body[fields::kFailedComparisons]) {
            response.failed.push_back(key.get<std::string>());
        }
    }
}

// Decodes the result of a successful request.
void decode_result(const Json& body, StoreOperation operation, StoreResponse& response) {
    switch (operation) {
        case StoreOperation::get:
            response.rows.push_back(decode_row(body));
            break;
        case StoreOperation::list:
            for (const Json& row : required_field(body, fields::kRows)) {
                response.rows.push_back(decode_row(row));
            }
            response.more = optional_flag(body, fields::kTruncated);
            break;
        case StoreOperation::changes:
            for (const Json& event : required_field(body, fields::kEvents)) {
                decode_event(event, response);
            }
            break;
        case StoreOperation::lease_grant:
            response.lease = unsigned_field(body, fields::kLease);
            break;
        default:
            break;
    }
}

// Treats an undecodable response as no response, because the request may have been executed.
void mark_undecodable(StoreResponse& response) {
    response.status = StoreStatus::no_response;
    response.rows.clear();
}

bool has_no_body(StoreStatus status) {
    return status == StoreStatus::no_response || status == StoreStatus::rate_limited ||
           status == StoreStatus::unavailable;
}

}  // namespace

HttpRequest encode(const StoreRequest& request) {
    HttpRequest http;
    switch (request.operation) {
        case StoreOperation::get:
            http.path = fields::kKeyPathPrefix + request.key;
            break;
        case StoreOperation::list:
            http.path = list_path(request);
            break;
        case StoreOperation::changes:
            http.path = changes_path(request);
            break;
        case StoreOperation::lease_grant:
            http.method = Method::post;
            http.path = fields::kLeasesPath;
            http.body = pack(Json{{fields::kLeaseTtlMs, request.ttl_ms}});
            break;
        case StoreOperation::lease_renew:
            http.method = Method::post;
            http.path = lease_path(request) + fields::kRenewPathSuffix;
            http.body = pack(Json::object());
            break;
        case StoreOperation::lease_revoke:
            http.method = Method::del;
            http.path = lease_path(request);
            break;
        case StoreOperation::transaction:
            http.method = Method::post;
            http.path = fields::kTransactionPath;
            http.body = pack(encode_transaction(request.transaction));
            break;
    }
    return http;
}

StoreResponse decode_store_response(const StoreRequest& request, int code, std::string_view body) {
    StoreResponse response;
    response.call = request.call;
    response.status = status_of(code);
    if (has_no_body(response.status)) {
        return response;
    }
    if (body.empty() && (code == 204 || request.operation == StoreOperation::lease_revoke)) {
        return response;
    }
    auto document = unpack(body, kStoreLimits);
    if (!document || !document->is_object()) {
        // The request may have been executed although its response cannot be decoded.
        if (code == 200) {
            spdlog::warn(
                "cannot decode a response of the store: not a MessagePack map; treating it as no "
                "response");
            response.status = StoreStatus::no_response;
        }
        return response;
    }
    try {
        decode_common_fields(*document, response);
        if (code == 200) {
            decode_result(*document, request.operation, response);
        }
    } catch (const DecodeError& error) {
        spdlog::warn("cannot decode a response of the store: {}; treating it as no response",
                     error.what());
        mark_undecodable(response);
    } catch (const Json::exception&) {
        spdlog::warn(
            "cannot decode a response of the store: a value has an unexpected type; treating it as "
            "no response");
        mark_undecodable(response);
    }
    return response;
}

}  // namespace walkford::protocol
