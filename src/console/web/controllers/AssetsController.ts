/** Serves the style sheet and the script. */
import { Controller, Get, Header } from "@nestjs/common";
import { CONSOLE_SCRIPT } from "../assets/ConsoleScript.js";
import { CONSOLE_STYLE } from "../assets/ConsoleStyle.js";

@Controller()
export class AssetsController {
    @Get("console.css")
    @Header("content-type", "text/css; charset=utf-8")
    getStyle(): string {
        return CONSOLE_STYLE;
    }

    @Get("console.js")
    @Header("content-type", "text/javascript; charset=utf-8")
    getScript(): string {
        return CONSOLE_SCRIPT;
    }
}
