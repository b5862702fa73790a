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

/// The dependencies of an EditFlow.
struct EditTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<contract::ContractStore> store;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<contract::ContractSync> sync;
    std::shared_ptr<contract::ContractExchange> exchange;
};

/// Handles one contract edit request of an operator: waits until this VM hears a majority of the entry VMs, writes the
/// edit to the table, waits until it is in force on all live entry VMs, and responds with the VMs where it is in force.
/// Both waits are bounded; the edit stays accepted if the second one times out.
class EditFlow : public std::enable_shared_from_this<EditFlow>
{
public:
    static void run(EditTools tools, const http::Request &request, std::shared_ptr<http::Responder> responder);

private:
    EditFlow() = default;
    bool parseRequest(const http::Request &request);
    void awaitMajority();
    void write();
    void onEditResult(contract::EditResult result);
    void awaitInForceEverywhere();
    bool isInForceEverywhere() const;
    void respondRejected(const Findings &findings);
    EditTools tools_;
    std::shared_ptr<http::Responder> responder_;
    contract::Edit edit_;
    contract::ProposedEdit proposedEdit_;
    contract::EditResult result_;
    TimePoint waitDeadline_;
};

/// Adds to @p answer the contract revision of each live entry VM and on how many of them @p revision is in force.
void addRevisionStatus(Json::Value &answer, const contract::ContractExchange &exchange, std::uint64_t revision);

} // namespace cardamomlift::operatorapi
