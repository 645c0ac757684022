#pragma once

#include <string>

namespace goldcrestkeel {

/** Documents travel compressed (zlib): a configuration repeats its field names
 *  for each replica. */
std::string
CompressDocument(const std::string& aDocument);
/** Throws std::runtime_error if aData is not valid or holds more than
 *  kMaxDocumentBytes. */
std::string
DecompressDocument(const std::string& aData);

} // namespace goldcrestkeel
