/**
 * Latency histogram whose bucket bounds grow by a constant factor.
 *
 * @module
 */

/** Ratio of the bounds of adjacent buckets. */
export const BUCKET_GROWTH = 1.1;

/** Number of buckets; the last one has no upper bound. */
export const BUCKET_COUNT = 128;

const LOG_GROWTH = Math.log(BUCKET_GROWTH);

/**
 * Returns the bucket of a latency.
 *
 * @param latencyMs Latency in milliseconds; latencies up to 1 ms share the first bucket.
 */
export function bucketOf(latencyMs: number): number {
    if (latencyMs <= 1) {
        return 0;
    }
    return Math.min(BUCKET_COUNT - 1, Math.floor(Math.log(latencyMs) / LOG_GROWTH));
}

/**
 * Returns the bucket that contains a quantile.
 *
 * @param counts Number of entries of each bucket.
 * @param total Number of entries of all buckets.
 * @param quantile Quantile from 0 to 1.
 */
export function quantileBucket(counts: ArrayLike<number>, total: number, quantile: number): number {
    let cumulative = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
        cumulative += counts[bucket];
        if (cumulative >= total * quantile) {
            return bucket;
        }
    }
    return BUCKET_COUNT - 1;
}

/**
 * Counts the entries above a bucket.
 *
 * @param counts Number of entries of each bucket.
 * @param bucket Bucket above which entries are counted; -1 counts all.
 */
export function countAbove(counts: ArrayLike<number>, bucket: number): number {
    let count = 0;
    for (let index = Math.max(0, bucket + 1); index < BUCKET_COUNT; index++) {
        count += counts[index];
    }
    return count;
}
