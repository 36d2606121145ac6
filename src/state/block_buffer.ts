/**
 * Bytes that arrive in pieces and are read once they are complete.
 *
 * @module
 */

/** Sizes of the first and of the largest blocks, in bytes. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 65_536;

/** Largest number of free blocks that are kept. */
const MAX_FREE_BLOCKS = 256;

/** Free blocks of the largest size. Input without end would leave them as garbage faster than it is collected. */
const freeBlocks: Buffer[] = [];

/**
 * Joins pieces in blocks as they arrive. Kept as they are, pieces of a byte would take a hundred times the memory of their contents; in
 * one buffer that grows, large bodies would be copied again and again, which leaves more garbage than they have bytes.
 */
export class BlockBuffer {
    private readonly blocks: Buffer[] = [];
    /** Bytes of the last block that are free. */
    private freeBytes = 0;
    private used = 0;

    /** Number of bytes. */
    get length(): number {
        return this.used;
    }

    /** Appends a piece. */
    append(piece: Buffer): void {
        let copied = 0;
        while (copied < piece.length) {
            if (this.freeBytes === 0) {
                this.addBlock(piece.length - copied);
            }
            const block = this.blocks.at(-1) ?? piece;
            const count = piece.copy(block, block.length - this.freeBytes, copied);
            this.freeBytes -= count;
            copied += count;
        }
        this.used += piece.length;
    }

    /** Returns a copy of the bytes. */
    copy(): Buffer {
        return Buffer.concat(this.blocks, this.used);
    }

    /** Removes all bytes and returns them. */
    take(): Buffer {
        const [first] = this.blocks;
        if (this.blocks.length === 1 && first !== undefined) {
            // The block is the caller's now.
            this.blocks.length = 0;
            const { used } = this;
            this.clear();
            return first.subarray(0, used);
        }
        const bytes = this.copy();
        this.clear();
        return bytes;
    }

    /** Removes all bytes. */
    clear(): void {
        for (const block of this.blocks) {
            if (block.length === MAX_BLOCK_BYTES && freeBlocks.length < MAX_FREE_BLOCKS) {
                freeBlocks.push(block);
            }
        }
        this.blocks.length = 0;
        this.freeBytes = 0;
        this.used = 0;
    }

    /** Adds a block as large as all others, so that small bodies take little memory. */
    private addBlock(neededBytes: number): void {
        const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, neededBytes, this.used));
        const block = size === MAX_BLOCK_BYTES ? freeBlocks.pop() : undefined;
        this.blocks.push(block ?? Buffer.allocUnsafeSlow(size));
        this.freeBytes = size;
    }
}
