/** Clock, random numbers, invariants, log events, metrics and tracing. */
export {createManualClock, createSystemClock} from './clock';
export type {Clock, ManualClock, Timer} from './clock';
export {InvariantError, assertInvariant, failInvariant} from './invariant';
export {LogLevel, createLogger, defineEvent} from './logger';
export type {LogEvent, LogFields, Logger, LoggerOptions} from './logger';
export {LOG_LINES_DROPPED} from './events';
export {createLineWriter} from './line-writer';
export type {LineWriter, LineWriterOptions} from './line-writer';
export {createMetrics} from './metrics';
export type {Metrics} from './metrics';
export {createPauseDetector} from './pause-detector';
export type {PauseDetector} from './pause-detector';
export {createRandom, makeSecureId} from './random';
export type {Random} from './random';
export {SpanSide, createTracing} from './tracing';
export type {HopSpan, Tracing, TracingOptions} from './tracing';
export {createTurnMonitor, startWaitTimer, waitForPoll} from './turn-monitor';
export type {TurnMonitor, TurnMonitorOptions} from './turn-monitor';
