/** Convergence page, and its fragment that the script refreshes. */
import { Controller, Get, Inject, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { getSession } from "../access/index.js";
import { computeConvergence } from "../convergence/index.js";
import type { Html } from "../Html.js";
import {
    renderConvergence,
    renderConvergenceFailure,
    renderConvergencePage,
    renderEmptyStore,
} from "../pages/index.js";
import type { ConsoleContext } from "./ConsoleContext.js";
import { CONSOLE_CONTEXT, sendPage } from "./ConsoleContext.js";

@Controller()
export class ConvergenceController {
    constructor(@Inject(CONSOLE_CONTEXT) private readonly context: ConsoleContext) {}

    @Get()
    async show(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
        sendPage(reply, 200, renderConvergencePage(getSession(request), await this.renderFragment()));
    }

    @Get("convergence")
    async showFragment(@Res() reply: FastifyReply): Promise<void> {
        sendPage(reply, 200, (await this.renderFragment()).text);
    }

    private async renderFragment(): Promise<Html> {
        const { now, port } = this.context;
        const read = await port.readCurrent();
        if (read.isLeft()) {
            return renderConvergenceFailure(read.swap().map(failure => failure.detail).orDefault(""), now());
        }
        const current = read.unsafeCoerce();
        if (current === undefined) {
            return renderEmptyStore();
        }
        const statuses = await port.readStatus(Object.keys(current.document.mesh.regions));
        return statuses.caseOf({
            Left: failure => renderConvergenceFailure(failure.detail, now()),
            Right: found => renderConvergence(computeConvergence(current, found, now()), now()),
        });
    }
}
