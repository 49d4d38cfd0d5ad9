/** Structured logs of numbered events, written with consola. */
import {createConsola} from 'consola';

/** Severity of a log event. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** A numbered event; each package lists its own in `events.ts`. */
export interface LogEvent {
  readonly id: number;
  readonly level: LogLevel;
  readonly text: string;
}

/** Fields of a log line. They must not contain secrets. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes each event as one line of JSON. */
export interface Logger {
  log(event: LogEvent, fields?: LogFields): void;
  /** A logger that adds `fields` to every line. */
  withFields(fields: LogFields): Logger;
}

/** Options of `createLogger`. */
export interface LoggerOptions {
  level: LogLevel;
  fields?: LogFields;
  /** Receives each line; the default is standard error. */
  write?: (line: string) => void;
  /** Wall-clock time in milliseconds. */
  getWallMs: () => number;
}

/** Verbosity numbers of consola; a lower number is more severe. */
const CONSOLA_LEVELS: Record<LogLevel, number> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

/** Defines a numbered event. */
export function defineEvent(
  id: number,
  level: LogLevel,
  text: string,
): LogEvent {
  return {id, level, text};
}

/** Creates a logger of JSON lines. */
export function createLogger(options: LoggerOptions): Logger {
  const write =
    options.write ?? (line => void process.stderr.write(line + '\n'));
  const consola = createConsola({
    level: CONSOLA_LEVELS[options.level],
    throttle: 0,
    reporters: [{log: entry => write(String(entry.args[0]))}],
  });
  const makeLogger = (baseFields: LogFields): Logger => ({
    log: (event, fields) => {
      const line = JSON.stringify({
        time: options.getWallMs(),
        level: event.level,
        event: event.id,
        text: event.text,
        ...baseFields,
        ...fields,
      });
      consola[event.level](line);
    },
    withFields: fields => makeLogger({...baseFields, ...fields}),
  });
  return makeLogger(options.fields ?? {});
}
