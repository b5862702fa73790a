#include "contract/editcheck.h"

#include "contract/contractreader.h"

namespace cardamomlift::contract {

namespace {

void checkKeys(const ProposedEdit &edit, const Contract &proposed, ContractsInForce others, Findings &findings)
{
    for (const auto &other : others) {
        if (other->contract.customer == proposed.customer) {
            continue;
        }
        for (const ApiKey &taken : other->contract.keys) {
            for (const ApiKey &key : proposed.keys) {
                if (key.sha256 == taken.sha256) {
                    findings.push_back({edit.file,
                        key.line,
                        key.column,
                        "Customer " + other->contract.customer + " already has this API key.",
                        "Make a new key for one of the two."});
                }
            }
        }
    }
}

} // namespace

Findings checkEdit(const ProposedEdit &edit, const ContractVersion *replaced, ContractsInForce others)
{
    Findings findings;
    const Contract proposed = readContract(edit.file, edit.text, findings);
    if (hasErrors(findings)) {
        return findings;
    }
    if (proposed.customer != edit.customer) {
        findings.push_back({edit.file, 1, 1, "The contract is for another customer.", "Apply it under the name in \"customer\"."});
    }
    checkKeys(edit, proposed, others, findings);
    if (replaced && !edit.confirmed) {
        Findings ignored;
        const Contract before = readContract(edit.file, replaced->text, ignored);
        const Findings dangers = dangerousChanges(edit.file, before, proposed, ContractLocations::read(edit.file, edit.text));
        findings.insert(findings.end(), dangers.begin(), dangers.end());
    }
    return findings;
}

} // namespace cardamomlift::contract
