#pragma once

#include <string>

namespace cardamomlift {

/// What kind of failure an Error reports; callers branch on this, never on the text.
enum class ErrorKind {
    Invalid, ///< The input is wrong; a repeat fails the same way.
    NotFound, ///< The named thing does not exist.
    Conflict, ///< Somebody else changed the thing first.
    Unavailable, ///< A dependency can't be reached or refuses for now.
    Denied, ///< The credential is missing or does not match.
    Internal, ///< A library or the operating system failed.
};

/// A failure with a short sentence for a person.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
};

} // namespace cardamomlift
