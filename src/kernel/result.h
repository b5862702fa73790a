#pragma once

#include "kernel/error.h"

#include <boost/outcome.hpp>

namespace cardamomlift {

/// A value or an Error (Boost.Outcome). Reading the wrong side ends the process.
template<class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Success of a call without a value.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Failure of @p kind with a short sentence.
inline Error failure(ErrorKind kind, std::string message)
{
    return Error{kind, std::move(message)};
}

} // namespace cardamomlift
