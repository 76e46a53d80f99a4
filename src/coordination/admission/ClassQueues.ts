import type { AdmissionRequest } from "./AdmissionTypes.js";

interface ClassQueue {
    readonly requests: AdmissionRequest[];
    weight: number;
    /** Virtual time at which the class's next request starts. */
    virtualStart: number;
}

/** Queued requests of each class, dequeued by weighted fair queueing. */
export class ClassQueues {
    readonly #queues = new Map<string, ClassQueue>();
    #virtualTime = 0;
    #length = 0;

    get length(): number {
        return this.#length;
    }

    enqueue(request: AdmissionRequest): void {
        let queue = this.#queues.get(request.class);
        if (queue === undefined) {
            queue = { requests: [], weight: request.weight, virtualStart: this.#virtualTime };
            this.#queues.set(request.class, queue);
        }
        if (queue.requests.length === 0) {
            // A class gets no credit for the time in which it was idle.
            queue.virtualStart = Math.max(queue.virtualStart, this.#virtualTime);
        }
        queue.weight = request.weight;
        queue.requests.push(request);
        this.#length++;
    }

    has(request: AdmissionRequest): boolean {
        return this.#queues.get(request.class)?.requests.includes(request) ?? false;
    }

    remove(request: AdmissionRequest): boolean {
        const queue = this.#queues.get(request.class);
        const index = queue?.requests.indexOf(request) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.requests.splice(index, 1);
        this.#length--;
        return true;
    }

    /** Dequeues from the class with the earliest virtual start among those whose first request may start. */
    dequeue(mayStart: (request: AdmissionRequest) => boolean): AdmissionRequest | undefined {
        let selected: ClassQueue | undefined;
        for (const queue of this.#queues.values()) {
            const first = queue.requests[0];
            if (
                first !== undefined && (selected === undefined || queue.virtualStart < selected.virtualStart)
                && mayStart(first)
            ) {
                selected = queue;
            }
        }
        const request = selected?.requests.shift();
        if (selected === undefined || request === undefined) {
            return undefined;
        }
        this.#length--;
        this.#virtualTime = Math.max(this.#virtualTime, selected.virtualStart);
        selected.virtualStart += 1 / selected.weight;
        return request;
    }

    dequeueExpired(now: number): AdmissionRequest[] {
        const expired: AdmissionRequest[] = [];
        for (const queue of this.#queues.values()) {
            for (let index = queue.requests.length - 1; index >= 0; index--) {
                const request = queue.requests[index];
                if (request !== undefined && request.deadline <= now) {
                    queue.requests.splice(index, 1);
                    expired.push(request);
                }
            }
        }
        this.#length -= expired.length;
        return expired;
    }

    /** Whether a class has fewer queued requests than its weighted share of the queue. */
    isBelowShare(className: string, weight: number, queueLength: number): boolean {
        let weights = weight;
        for (const [name, queue] of this.#queues) {
            if (name !== className && queue.requests.length > 0) {
                weights += queue.weight;
            }
        }
        const held = this.#queues.get(className)?.requests.length ?? 0;
        return held < Math.floor(queueLength * weight / weights);
    }

    /** Removes the newest request of the class with the most queued requests per weight, other than `className`. */
    evict(className: string): AdmissionRequest | undefined {
        let largest: ClassQueue | undefined;
        for (const [name, queue] of this.#queues) {
            if (
                name !== className && queue.requests.length > 0
                && (largest === undefined
                    || queue.requests.length / queue.weight > largest.requests.length / largest.weight)
            ) {
                largest = queue;
            }
        }
        const evicted = largest?.requests.pop();
        if (evicted !== undefined) {
            this.#length--;
        }
        return evicted;
    }
}
