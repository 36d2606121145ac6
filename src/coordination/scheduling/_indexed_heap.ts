/**
 * Binary heap that supports the removal of any item.
 *
 * @module
 */

/** Compares two items; returns a negative number when the left one comes first. */
export type Comparator<Item> = (left: Item, right: Item) => number;

/** Min-heap that tracks the index of each item, so that any item can be removed in logarithmic time. */
export class IndexedHeap<Item> {
    private readonly items: Item[] = [];
    private readonly indices = new Map<Item, number>();

    /** @param compare Defines the order of the items. */
    constructor(private readonly compare: Comparator<Item>) {}

    /** Number of items. */
    get size(): number {
        return this.items.length;
    }

    /** First item in the heap's order. */
    get first(): Item | undefined {
        return this.items[0];
    }

    /** Last leaf of the heap; with more than one item, never the first in order. Found in constant time. */
    get lastLeaf(): Item | undefined {
        return this.items.at(-1);
    }

    /** All items, in no particular order. */
    get all(): readonly Item[] {
        return this.items;
    }

    /** Adds an item. */
    add(item: Item): void {
        this.setItem(item, this.items.length);
        this.siftUp(this.items.length - 1);
    }

    /**
     * Removes an item.
     *
     * @returns Whether the heap contained the item.
     */
    remove(item: Item): boolean {
        const index = this.indices.get(item);
        if (index === undefined) {
            return false;
        }
        this.indices.delete(item);
        const last = this.items.pop() as Item;
        if (last !== item) {
            this.setItem(last, index);
            this.siftUp(index);
            this.siftDown(this.indices.get(last) as number);
        }
        return true;
    }

    /** Removes and returns the first item. */
    pop(): Item | undefined {
        const { first } = this;
        if (first !== undefined) {
            this.remove(first);
        }
        return first;
    }

    private setItem(item: Item, index: number): void {
        this.items[index] = item;
        this.indices.set(item, index);
    }

    private siftUp(start: number): void {
        let index = start;
        const item = this.items[index];
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (this.compare(item, this.items[parent]) >= 0) {
                break;
            }
            this.setItem(this.items[parent], index);
            index = parent;
        }
        this.setItem(item, index);
    }

    private siftDown(start: number): void {
        let index = start;
        const item = this.items[index];
        for (;;) {
            let child = 2 * index + 1;
            if (child >= this.items.length) {
                break;
            }
            if (child + 1 < this.items.length && this.compare(this.items[child + 1], this.items[child]) < 0) {
                child += 1;
            }
            if (this.compare(item, this.items[child]) <= 0) {
                break;
            }
            this.setItem(this.items[child], index);
            index = child;
        }
        this.setItem(item, index);
    }
}
