// Encodes requests to the store and decodes its responses.
#include "bookkeeping/unreadable_log.hpp"
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

constexpr const char* kListOfStore = "list of the store";
constexpr const char* kResponsesOfStore = "responses of the store";

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
bool is_readable_key(const Json& map, const char* field) {
    return map.is_object() && map.contains(field) && map[field].is_string() &&
           map[field].get_ref<const std::string&>().find(kReplacementCharacter) ==
               std::string::npos;
}

// Reads a row or an event, whose key is in the given field. A null value is kept; what it is for
// finds it unreadable.
StoreEntry decode_entry(const Json& entry, const char* key_field) {
    StoreEntry row;
    row.key = string_field(entry, key_field);
    row.version = unsigned_field(entry, fields::kVersion);
    if (std::string_view(key_field) != fields::kDeletedKey) {
        row.value = entry.value(fields::kValue, Json());
    }
    return row;
}

// The field that holds the key of an event; null if it is neither a write nor a deletion.
const char* key_field_of_event(const Json& event) {
    for (const char* field : {fields::kWrittenKey, fields::kDeletedKey}) {
        if (!absent_or_null(event, field)) {
            return field;
        }
    }
    return nullptr;
}

// Reads the entries of a list. One whose key can't be read costs only itself, as no record of ours
// has such a key. Without its version, an entry can't be ordered among the other changes of its
// key, so it makes the whole response undecodable; so does a list without any readable entry.
template <typename KeyField>
void decode_entries(const Json& list, KeyField key_field, StoreResponse& response) {
    std::size_t unreadable_keys = 0;
    for (std::size_t position = 0; position < list.size(); ++position) {
        const Json& entry = list[position];
        const char* field = key_field(entry);
        if (!field) {
            log_unreadable(kListOfStore, "#" + std::to_string(position),
                           "neither a write nor a deletion");
        } else if (is_readable_key(entry, field)) {
            response.rows.push_back(decode_entry(entry, field));
        } else {
            ++unreadable_keys;
            log_unreadable(kListOfStore, "#" + std::to_string(position),
                           DecodeError::invalid(field).what());
        }
    }
    if (response.rows.empty() && unreadable_keys > 0) {
        throw DecodeError::invalid(fields::kKey);
    }
}

// Decodes the fields that a response may have with any status.
void decode_common_fields(const Json& body, StoreResponse& response) {
    if (!absent_or_null(body, fields::kRevision)) {
        response.revision = unsigned_field(body, fields::kRevision);
    }
    if (absent_or_null(body, fields::kFailedComparisons)) {
        return;
    }
    for (const Json& key : list_field(body, fields::kFailedComparisons)) {
        if (key.is_string()) {
            response.failed.push_back(key.get<std::string>());
        } else {
            log_unreadable(kListOfStore, key.dump(),
                           DecodeError::invalid(fields::kFailedComparisons).what());
        }
    }
}

// Decodes the result of a successful request.
void decode_result(const Json& body, StoreOperation operation, StoreResponse& response) {
    switch (operation) {
        case StoreOperation::get:
            if (!is_readable_key(body, fields::kKey)) {
                throw DecodeError::invalid(fields::kKey);
            }
            response.rows.push_back(decode_entry(body, fields::kKey));
            break;
        case StoreOperation::list:
            decode_entries(
                list_field(body, fields::kRows), [](const Json&) { return fields::kKey; },
                response);
            response.more = optional_flag(body, fields::kTruncated);
            break;
        case StoreOperation::changes:
            decode_entries(list_field(body, fields::kEvents), key_field_of_event, response);
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
            log_unreadable(kResponsesOfStore, encode(request).path, "not a MessagePack map");
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
        log_unreadable(kResponsesOfStore, encode(request).path, error.what());
        mark_undecodable(response);
    }
    return response;
}

}  // namespace walkford::protocol
