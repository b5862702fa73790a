#include "contract/editcheck.h"

#include "contract/contractreader.h"

namespace cardamomlift::contract {

namespace {

void checkKeys(const ProposedEdit &edit, const Contract &wanted, ContractsInForce others, Findings &findings)
{
    for (const auto &other : others) {
        if (other->contract.customer == wanted.customer) {
            continue;
        }
        for (const ApiKey &taken : other->contract.keys) {
            for (const ApiKey &key : wanted.keys) {
                if (key.sha256 == taken.sha256) {
                    findings.push_back(
                        {edit.file, key.line, key.column, "Customer " + other->contract.customer + " has this API key.", "Make a new key for one of the two."});
                }
            }
        }
    }
}

} // namespace

Findings checkEdit(const ProposedEdit &edit, const ContractVersion *replaced, ContractsInForce others)
{
    Findings findings;
    const Contract wanted = readContract(edit.file, edit.text, findings);
    if (hasErrors(findings)) {
        return findings;
    }
    if (wanted.customer != edit.customer) {
        findings.push_back({edit.file, 1, 1, "The text is the contract of another customer.", "Apply it under the name in \"customer\"."});
    }
    checkKeys(edit, wanted, others, findings);
    if (replaced && !edit.confirmed) {
        Findings ignored;
        const Contract before = readContract(edit.file, replaced->text, ignored);
        const Findings dangers = dangerousChanges(edit.file, before, wanted, ContractLocations::read(edit.file, edit.text));
        findings.insert(findings.end(), dangers.begin(), dangers.end());
    }
    return findings;
}

} // namespace cardamomlift::contract
