#pragma once

#include "contract/contractexchange.h"
#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "contract/contractsync.h"
#include "contract/editcheck.h"
#include "http/server.h"
#include "kernel/eventloop.h"

#include <json/json.h>

#include <memory>

namespace cardamomlift::operatorapi {

/// What an edit works with.
struct EditTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<contract::ContractStore> store;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<contract::ContractSync> sync;
    std::shared_ptr<contract::ContractExchange> exchange;
};

/// One edit, from the operator's request to the answer: waits until this VM hears a majority of the entry VMs, puts the
/// edit into the table, waits until it is in force at all of them, and tells where it is.
class EditFlow : public std::enable_shared_from_this<EditFlow>
{
public:
    static void run(EditTools tools, const http::Request &request, std::shared_ptr<http::Responder> responder);

private:
    EditFlow() = default;
    bool read(const http::Request &request);
    void awaitMajority();
    void write();
    void onResult(contract::EditResult result);
    void awaitEverywhere();
    bool isEverywhere() const;
    void respondRejected(const Findings &findings);
    EditTools tools_;
    std::shared_ptr<http::Responder> responder_;
    contract::Edit edit_;
    contract::ProposedEdit text_;
    contract::EditResult result_;
    TimePoint waitEnd_;
};

/// Where @p revision is in force, as JSON, with the count.
void addWhere(Json::Value &answer, const contract::ContractExchange &exchange, std::uint64_t revision);

} // namespace cardamomlift::operatorapi
