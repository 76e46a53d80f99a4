import { HttpException } from "@nestjs/common";

const STATUSES = { condition: 412, invalid: 400, "not-found": 404, rate: 429, "too-large": 413 } as const;

/** Error answer of the store protocol; the request had no effect. */
export class StoreRefusal extends HttpException {
    constructor(code: keyof typeof STATUSES, message: string) {
        super({ error: { code, message } }, STATUSES[code]);
    }
}
