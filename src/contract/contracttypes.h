#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cardamomlift::contract {

/// Order in which work is served when there is not room for all.
enum class Priority {
    Urgent, ///< Never waits behind another priority.
    Normal,
    Deferrable, ///< May wait up to ServiceClass::waitUpToMs.
};

std::string_view priorityName(Priority priority);

/// A caller's credential: only the hash of the key is kept.
struct ApiKey {
    std::string name;
    std::string sha256; ///< Lower-case hex.
    int line = 0; ///< Where "sha256" stands in the text.
    int column = 0;
};

/// What is promised to one class of requests.
struct ServiceClass {
    std::string name;
    Priority priority = Priority::Normal;
    std::int64_t firstTokenMs = 0; ///< Latency target of the first token, or of the whole answer of a plain service.
    std::int64_t betweenTokensMs = 0; ///< Latency target between tokens; 0 for plain services.
    std::int64_t waitUpToMs = 0; ///< How long a request may wait for room; 0: not at all.
};

/// A model that the customer may use, in one service class.
struct ModelGrant {
    std::string model;
    std::string serviceClass;
    std::int64_t maxOutputTokens = 0;
};

/// A part of a plain service that the customer may call.
struct ServiceGrant {
    std::string service;
    std::string path; ///< Prefix of the paths this grant covers.
    std::string serviceClass;
    bool idempotent = true; ///< False: an Idempotency-Key is required and a call runs at most once.
    std::int64_t timeoutMs = 0;
};

/// The limits of a customer over all entry VMs together.
struct Limits {
    std::int64_t requestsPerSecond = 0;
    std::int64_t openRequests = 0;
    std::int64_t tokensPerMinute = 0; ///< Prompt and output tokens.
};

/// The spending bound of a customer and the prices it is counted with.
struct Spending {
    std::int64_t perDayCents = 0; ///< Never passed; a day is a UTC day.
    std::int64_t centsPerMillionTokens = 0;
    std::int64_t centsPerThousandCalls = 0;
};

/// All that one customer is promised, as an operator wrote it.
struct Contract {
    std::string customer;
    std::string name;
    std::vector<ApiKey> keys;
    std::vector<ServiceClass> classes;
    std::vector<ModelGrant> models;
    std::vector<ServiceGrant> services;
    Limits limits;
    Spending spending;
};

const ServiceClass *findClass(const Contract &contract, std::string_view name);
const ModelGrant *findModel(const Contract &contract, std::string_view model);
/// The grant with the longest path that is a prefix of @p path.
const ServiceGrant *findService(const Contract &contract, std::string_view service, std::string_view path);

/// One accepted edit, as the table keeps it.
struct ContractVersion {
    std::string customer;
    std::uint64_t version = 0; ///< From 1, for this customer.
    std::uint64_t revision = 0; ///< From 1, over all customers; higher is newer.
    std::string text; ///< As written by the operator.
    std::string author;
    std::string editId; ///< Chosen by the tool; a repeat with the same id is the same edit.
    std::int64_t acceptedAtMs = 0; ///< Civil time, milliseconds since 1970 UTC.
    std::uint32_t hops = 0; ///< Peers it passed on its way here from the table; not stored.
};

} // namespace cardamomlift::contract
