#pragma once

/** Distribution of the store's changes among entry hosts: what a host knows,
 *  and from whom it learns the next change. Performs no I/O. */

#include <goldcrestkeel/feed/ChangeLog.h>
#include <goldcrestkeel/feed/FeedFollower.h>
#include <goldcrestkeel/feed/FeedItem.h>
#include <goldcrestkeel/feed/ReplicaHistory.h>
#include <goldcrestkeel/feed/SourceSelector.h>
