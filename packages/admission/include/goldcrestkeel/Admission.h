#pragma once

/** Decisions on which requests are admitted and in which order: rate limits of
 *  tenants over all hosts, queue order, load shedding. Performs no I/O. */

#include <goldcrestkeel/admission/DispatchPacer.h>
#include <goldcrestkeel/admission/FairQueue.h>
#include <goldcrestkeel/admission/LoadShedder.h>
#include <goldcrestkeel/admission/OwnerRanking.h>
#include <goldcrestkeel/admission/RateLimitClient.h>
#include <goldcrestkeel/admission/RateLimitMessage.h>
#include <goldcrestkeel/admission/RateLimitOwner.h>
#include <goldcrestkeel/admission/TokenBucket.h>
