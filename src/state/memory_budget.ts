/**
 * Bound on the memory of bytes that a node holds for others.
 *
 * @module
 */

/** Smallest share that is evicted, in bytes: whoever sends without end gets beyond it soon, and ordinary calls stay below it. */
const MIN_EVICTED_BYTES = 131_072;

/** Multiple of the limit from which on the largest share is evicted whatever its size: many connections may hold little each. */
const HARD_LIMIT_FACTOR = 2;

/** Bytes that one holder keeps, such as an answer that is not complete. */
export class MemoryShare {
    private held = 0;
    private isClosed = false;

    /**
     * @param onResize Called with the change of the size, in bytes.
     * @param onPinned Called when the share must not be evicted any more.
     * @param onEvicted Called when the share is evicted: its holder releases the bytes and fails.
     */
    constructor(
        private readonly onResize: (change: number) => void,
        private readonly onPinned: (share: MemoryShare) => void,
        readonly onEvicted: () => void,
    ) {}

    /** Size, in bytes. */
    get bytes(): number {
        return this.held;
    }

    /** Sets the size, in bytes, unless the share is closed. It may evict this share. */
    resize(bytes: number): void {
        if (this.isClosed) {
            return;
        }
        const change = bytes - this.held;
        this.held = bytes;
        if (change !== 0) {
            this.onResize(change);
        }
    }

    /** Keeps the share from being evicted. */
    pin(): void {
        this.onPinned(this);
    }

    /** Returns the bytes to the budget. */
    close(): void {
        this.resize(0);
        this.isClosed = true;
        this.onPinned(this);
    }
}

/**
 * Memory that all holders of a node share. While they hold too much, the one that holds most is evicted, so that whoever sends without
 * end is stopped, and not whoever comes next.
 */
export class MemoryBudget {
    private readonly evictableShares = new Set<MemoryShare>();
    private used = 0;
    private evictionCount = 0;

    /**
     * @param limitBytes Number of bytes that all shares may have together.
     * @param minEvictedBytes Smallest share that is evicted, in bytes, unless the shares have twice the limit. Defaults to 128 KiB.
     */
    constructor(private readonly limitBytes: number, private readonly minEvictedBytes = MIN_EVICTED_BYTES) {}

    /** Number of bytes that are held. */
    get usedBytes(): number {
        return this.used;
    }

    /** Number of shares that were evicted. */
    get evictions(): number {
        return this.evictionCount;
    }

    /**
     * Opens an empty share.
     *
     * @param onEvicted Called when the share is evicted.
     */
    open(onEvicted: () => void): MemoryShare {
        const share = new MemoryShare(
            change => this.handleResize(change),
            pinned => this.evictableShares.delete(pinned),
            onEvicted,
        );
        this.evictableShares.add(share);
        return share;
    }

    private handleResize(change: number): void {
        this.used += change;
        while (change > 0 && this.used > this.limitBytes) {
            const largest = this.findLargest();
            if (largest === undefined) {
                return;
            }
            this.evictionCount += 1;
            largest.close();
            largest.onEvicted();
        }
    }

    private findLargest(): MemoryShare | undefined {
        const minBytes = this.used > this.limitBytes * HARD_LIMIT_FACTOR ? 1 : this.minEvictedBytes;
        let largest: MemoryShare | undefined;
        for (const share of this.evictableShares) {
            if (share.bytes >= (largest?.bytes ?? minBytes)) {
                largest = share;
            }
        }
        return largest;
    }
}
