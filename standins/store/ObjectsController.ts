/** HTTP endpoints of the store protocol in docs/store.md. */
import { Body, Controller, Delete, Get, Headers, HttpCode, Inject, Param, Put, Query, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { MAXIMUM_VALUE_BYTES } from "../../src/state/store/index.js";
import type { StoredObject, WriteResult } from "./ObjectStore.js";
import { ABSENT_VERSION, ObjectStore } from "./ObjectStore.js";
import { StoreState } from "./StoreFaults.js";
import { StoreRefusal } from "./StoreRefusal.js";

const KEY_PATTERN = /^[A-Za-z0-9._\/-]{1,512}$/;
const ENTITY_TAG_PATTERN = /^"(\d{1,15})"$/;

/** Maximum number of objects in one listing. */
const PAGE_SIZE = 1_000;

const MAXIMUM_WAIT_MS = 60_000;

function checkKey(key: string): string {
    if (!KEY_PATTERN.test(key)) {
        throw new StoreRefusal("invalid", `"${key}" is no key`);
    }
    return key;
}

function parseNumber(name: string, text: string | undefined): number {
    const number = Number(text);
    if (text === undefined || !Number.isSafeInteger(number) || number < 0) {
        throw new StoreRefusal("invalid", `"${name}" is no whole number`);
    }
    return number;
}

function parseEntityTag(tag: string | undefined): number | undefined {
    const match = ENTITY_TAG_PATTERN.exec(tag ?? "");
    return match === null ? undefined : Number(match[1]);
}

function parseCondition(ifMatch: string | undefined, ifNoneMatch: string | undefined): number {
    const version = parseEntityTag(ifMatch);
    if (ifNoneMatch === "*" && ifMatch === undefined) {
        return ABSENT_VERSION;
    }
    if (version === undefined || ifNoneMatch !== undefined) {
        throw new StoreRefusal("invalid", "a write needs If-Match with a version or If-None-Match: *");
    }
    return version;
}

function requireWritten(key: string, result: WriteResult): number {
    if (result.kind === "condition") {
        throw new StoreRefusal("condition", `"${key}" is at version ${result.version}`);
    }
    return result.version;
}

@Controller("v1")
export class ObjectsController {
    constructor(
        @Inject(ObjectStore) private readonly objects: ObjectStore,
        @Inject(StoreState) private readonly state: StoreState,
    ) {}

    @Get("objects")
    list(@Query("prefix") prefix = "", @Query("after") after = ""): object {
        this.state.count("lists");
        const found = this.objects.list(prefix, after);
        return { complete: found.length <= PAGE_SIZE, objects: found.slice(0, PAGE_SIZE) };
    }

    @Get("objects/*")
    read(@Param("*") key: string, @Res() reply: FastifyReply): void {
        this.state.count("reads");
        const object = this.objects.get(checkKey(key));
        if (object === undefined) {
            throw new StoreRefusal("not-found", `"${key}" does not exist`);
        }
        this.sendObject(reply, object);
    }

    @Put("objects/*")
    write(
        @Param("*") key: string,
        @Headers("if-match") ifMatch: string | undefined,
        @Headers("if-none-match") ifNoneMatch: string | undefined,
        @Body() body: unknown,
    ): object {
        this.state.count("writes");
        const value = typeof body === "string" ? body : "";
        if (Buffer.byteLength(value) > MAXIMUM_VALUE_BYTES) {
            throw new StoreRefusal("too-large", `a value has at most ${MAXIMUM_VALUE_BYTES} bytes`);
        }
        const condition = parseCondition(ifMatch, ifNoneMatch);
        return { version: requireWritten(key, this.objects.put(checkKey(key), value, condition)) };
    }

    @Delete("objects/*")
    @HttpCode(204)
    delete(@Param("*") key: string, @Headers("if-match") ifMatch: string | undefined): void {
        this.state.count("deletions");
        requireWritten(key, this.objects.delete(checkKey(key), parseCondition(ifMatch, undefined)));
    }

    @Get("watches/*")
    async watch(
        @Param("*") key: string,
        @Query("after") after: string | undefined,
        @Query("waitMs") waitMs: string | undefined,
        @Req() request: FastifyRequest,
        @Res() reply: FastifyReply,
    ): Promise<void> {
        this.state.count("watches");
        const wait = Math.min(parseNumber("waitMs", waitMs), MAXIMUM_WAIT_MS);
        const version = parseNumber("after", after);
        const abortController = new AbortController();
        const timer = setTimeout(() => abortController.abort(), wait);
        request.raw.socket.once("close", () => abortController.abort());
        const object = await this.objects.watch(checkKey(key), version, abortController.signal);
        clearTimeout(timer);
        if (object === undefined) {
            reply.code(204).send();
            return;
        }
        this.sendObject(reply, object);
    }

    private sendObject(reply: FastifyReply, object: StoredObject): void {
        reply.header("etag", `"${object.version}"`).type("text/plain; charset=utf-8").send(object.value);
    }
}
