#pragma once

/** Pace at which replicas get requests: warm-up limits and slow start. Performs
 *  no I/O. */
