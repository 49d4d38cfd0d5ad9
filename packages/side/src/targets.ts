/** Helpers for request targets. */
import {TargetType} from '@siskinplank/messages';
import type {RequestTarget} from '@siskinplank/messages';

/** Formats a target as a map key. */
export function formatTarget(target: RequestTarget): string {
  return target.type === TargetType.Model
    ? `model ${target.model} ${target.adapter ?? ''}`
    : `route ${target.route}`;
}

/** Name of the target as callers use it. */
export function getTargetName(target: RequestTarget): string {
  return target.type === TargetType.Model
    ? (target.adapter ?? target.model)
    : target.route;
}
