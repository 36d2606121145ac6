/**
 * Contiguous bytes that arrive in pieces.
 *
 * @module
 */

/** Smallest capacity, in bytes. */
const MIN_CAPACITY_BYTES = 256;

const EMPTY = Buffer.alloc(0);

/**
 * Joins pieces as they arrive. Pieces are copied: kept as they are, each would take an object, and the memory that the socket was read
 * into, so that pieces of a byte would take a hundred times the memory of their contents.
 */
export class GrowingBuffer {
    private storage = EMPTY;
    private used = 0;

    /** Number of bytes. */
    get length(): number {
        return this.used;
    }

    /** View of the bytes; valid until the next change. */
    get bytes(): Buffer {
        return this.storage.subarray(0, this.used);
    }

    /** Appends a piece. */
    append(piece: Uint8Array): void {
        const needed = this.used + piece.length;
        if (needed > this.storage.length) {
            const grown = Buffer.allocUnsafeSlow(Math.max(MIN_CAPACITY_BYTES, needed, 2 * this.storage.length));
            this.storage.copy(grown, 0, 0, this.used);
            this.storage = grown;
        }
        this.storage.set(piece, this.used);
        this.used = needed;
    }

    /** Removes all bytes and returns them. */
    take(): Buffer {
        return this.takeFirst(this.used);
    }

    /** Removes a number of bytes from the beginning and returns them. */
    takeFirst(count: number): Buffer {
        const { bytes } = this;
        this.clear();
        if (count < bytes.length) {
            this.append(bytes.subarray(count));
        }
        return bytes.subarray(0, count);
    }

    /** Removes all bytes. */
    clear(): void {
        this.storage = EMPTY;
        this.used = 0;
    }
}
