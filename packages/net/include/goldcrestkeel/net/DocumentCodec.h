#pragma once

#include <string>

namespace goldcrestkeel {

/** Compresses a configuration document with zlib for transfer between hosts. A
 *  configuration repeats its field names for each replica, so it compresses
 *  well. Throws std::runtime_error if zlib fails. */
std::string
CompressDocument(const std::string& aDocument);
/** Inverse of CompressDocument(). Throws std::runtime_error if aData is not
 *  valid or decompresses to more than kMaxDocumentBytes. */
std::string
DecompressDocument(const std::string& aData);

} // namespace goldcrestkeel
