/** Umbrella header of the statement language, a library without I/O. Include
 *  this header only, not those in language/. docs/language.md describes the
 *  grammar. */
#pragma once

#include <goldcrestkeel/language/Parser.h>
#include <goldcrestkeel/language/Statement.h>
