/**
 * Binary heap that can remove any of its items.
 *
 * @module
 */

/** Orders items; negative when the left one goes first. */
export type Comparison<Item> = (left: Item, right: Item) => number;

/** Min-heap that keeps the place of each item, so that removal takes logarithmic time. */
export class IndexedHeap<Item> {
    private readonly items: Item[] = [];
    private readonly places = new Map<Item, number>();

    /** @param compare Order of the items. */
    constructor(private readonly compare: Comparison<Item>) {}

    /** Number of items held. */
    get size(): number {
        return this.items.length;
    }

    /** First item in order. */
    get first(): Item | undefined {
        return this.items[0];
    }

    /** Item that stands last in memory: a leaf, so none of the earliest while there are several. */
    get leaf(): Item | undefined {
        return this.items.at(-1);
    }

    /** All items, in no order. */
    get all(): readonly Item[] {
        return this.items;
    }

    /** Adds an item. */
    add(item: Item): void {
        this.place(item, this.items.length);
        this.rise(this.items.length - 1);
    }

    /**
     * Removes an item.
     *
     * @returns Whether the item was held.
     */
    remove(item: Item): boolean {
        const index = this.places.get(item);
        if (index === undefined) {
            return false;
        }
        this.places.delete(item);
        const last = this.items.pop() as Item;
        if (last !== item) {
            this.place(last, index);
            this.rise(index);
            this.sink(this.places.get(last) as number);
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

    private place(item: Item, index: number): void {
        this.items[index] = item;
        this.places.set(item, index);
    }

    private rise(start: number): void {
        let index = start;
        const item = this.items[index];
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (this.compare(item, this.items[parent]) >= 0) {
                break;
            }
            this.place(this.items[parent], index);
            index = parent;
        }
        this.place(item, index);
    }

    private sink(start: number): void {
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
            this.place(this.items[child], index);
            index = child;
        }
        this.place(item, index);
    }
}
