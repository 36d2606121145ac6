/**
 * Buckets of latencies whose bounds grow by a constant factor.
 *
 * @module
 */

/** Factor between the bounds of two neighbouring buckets. */
export const BUCKET_GROWTH = 1.1;

/** Number of buckets; the last one is open. */
export const BUCKET_COUNT = 128;

const LOG_GROWTH = Math.log(BUCKET_GROWTH);

/**
 * Returns the bucket of a latency.
 *
 * @param latencyMs Latency in milliseconds; those below 1 ms share the first bucket.
 */
export function bucketOf(latencyMs: number): number {
    if (latencyMs <= 1) {
        return 0;
    }
    return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log(latencyMs) / LOG_GROWTH));
}

/**
 * Returns the highest bucket below which at most a share of all entries lie.
 *
 * @param counts Entries of each bucket.
 * @param total Sum of all entries.
 * @param share Share from 0 to 1.
 */
export function quantileBucket(counts: ArrayLike<number>, total: number, share: number): number {
    let below = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
        below += counts[bucket];
        if (below >= total * share) {
            return bucket;
        }
    }
    return BUCKET_COUNT - 1;
}

/**
 * Counts the entries above a bucket.
 *
 * @param counts Entries of each bucket.
 * @param bucket Bucket that is not counted itself.
 */
export function countAbove(counts: ArrayLike<number>, bucket: number): number {
    let count = 0;
    for (let index = Math.max(0, bucket + 1); index < BUCKET_COUNT; index++) {
        count += counts[index];
    }
    return count;
}
