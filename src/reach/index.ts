export {canDispatch, createRegistration, handleRegistration} from './reach.js';
export type {
	Registration, RegistrationEffect, RegistrationEvent, RouterRowBody,
} from './reach.js';
