#pragma once

#include "bench/load/loadtypes.h"

#include <json/json.h>

#include <string>

namespace cardamomlift::bench {

/// Named figures of a run. Only names of ratios and counts take part in bounds; names that end in _ms or _per_second
/// hang on the machine.
using Figures = std::map<std::string, double>;

Figures figuresOf(const LoadResult &result);

/// A table a person reads: one line a kind and path, then the refusals by reason and the figures.
std::string reportTable(const LoadResult &result, const Figures &figures);

/// The figures as one JSON object.
Json::Value figuresToJson(const Figures &figures);

/// Compares with bounds {"name": {"least": x, "most": y}}. Returns one line for each bound, and sets @p holds to false
/// if one is broken or its figure is missing.
std::string checkBounds(const Figures &figures, const Json::Value &bounds, bool &holds);

} // namespace cardamomlift::bench
