/** Umbrella header of the statement language, without input or output. Include
 *  this header only, not its parts. docs/language.md describes the grammar. */
#pragma once

#include <goldcrestkeel/language/Parser.h>
#include <goldcrestkeel/language/Statement.h>
